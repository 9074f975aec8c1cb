#pragma once

// One connection of a caller: reads its requests one after the other, and gives each its answer.
//
//     auto connection = std::make_shared<CallerConnection>(context, descriptor, [](CallerConnection &gone) { ... });

#include "sequoiausher/base/nametable.h"
#include "sequoiausher/coordination/gateway/connectiontimeouts.h"
#include "sequoiausher/transport/gateway/gatewayexchange.h"
#include "sequoiausher/transport/stream/bytestream.h"
#include "sequoiausher/transport/stream/httpreader.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace Sequoiausher {

/** Why a caller's connection ended. */
enum class CloseReason {
    /** It was not used for longer than the limit. */
    Idle,
    /** Unused while the gateway stops. */
    Stopping,
    /** Its last answer said that the connection closes after it. */
    Answered,
    /** A request could not be read. */
    Unreadable,
    /** An answer ended early. */
    CutOff,
    /** The caller closed it, or its link broke. */
    CallerLeft,
};

template<>
inline constexpr auto nameTable<CloseReason> = std::to_array<NameEntry<CloseReason>>({
    {CloseReason::Idle, "idle"},
    {CloseReason::Stopping, "stopping"},
    {CloseReason::Answered, "answered"},
    {CloseReason::Unreadable, "unreadable"},
    {CloseReason::CutOff, "cut-off"},
    {CloseReason::CallerLeft, "caller-left"},
});

/** A caller's connection. */
class CallerConnection : public ByteStreamUser, public CallerSide
{
public:
    /** Called once when the connection is over; must not destroy it in the call. */
    using Gone = std::function<void(CallerConnection &connection)>;

    /** Takes the descriptor over. context outlives it. */
    CallerConnection(GatewayContext &context, int descriptor, Gone gone);
    ~CallerConnection() override;
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    /** Looks at the times that are over. */
    void tick(Millis now);
    /** Whether a request is being answered, or its answer has not left this process. */
    bool isBusy() const;
    /** Whether part of a request has come. */
    bool isReading() const;
    /** Closes it where it is unused, since the gateway stops. */
    void closeForStop();
    /** Ends what is under way on it, since the gateway cannot wait any longer: its caller hears what is known. */
    void endForStop();
    /** Closes it at once. */
    void close();

    void bytesArrived() override;
    void drained() override;
    void ended(StreamEnd how) override;

    void write(std::string_view bytes) override;
    void finished(bool closes) override;
    void cutOff() override;
    std::size_t pendingBytes() const override;
    std::uint64_t connectionNumber() const override;

private:
    void readRequests();
    void takeRequest();
    void refuse(int status, const std::string &reason);
    void dropExchange();
    void tickUnused(Millis now);
    void tickPartial(Millis now);
    /** For a connection on which nothing is under way. */
    void closeUnused(CloseReason why);
    /** For a connection on which an answer was just given. */
    void closeGently(CloseReason why);
    void over(CloseReason why);
    HttpReaderLimits limits() const;

    GatewayContext &context;
    Gone gone;
    std::shared_ptr<ByteStream> stream;
    HttpReader reader;
    std::shared_ptr<GatewayExchange> exchange;
    /** Its place in the order in which this gateway accepted connections: what log lines know it by. */
    std::uint64_t number;
    std::uint64_t requests = 0;
    IdleClock idle;
    /** The longest idle limit in force since the request under way came: its answer's head may have announced it. */
    Millis longestLimit;
    /** The request of which a part is there, where hasBytes. */
    PartialRequest partial;
    bool hasBytes = false;
    bool hasContinued = false;
    bool isOver = false;
    /** In readRequests(): an answer that is given at once must not read the next request inside the first. */
    bool isReadingNow = false;
};

} // namespace Sequoiausher
