#pragma once

// One connection of a caller. Reads its requests one after the other and answers each. Reads no further request while
// an answer waits for the caller, so that a caller that only sends cannot make the gateway hold more than one of them;
// and few requests in one turn of the event loop, so that other connections get theirs.
//
//     auto connection = std::make_shared<CallerConnection>(context, descriptor, [](CallerConnection &gone) { ... });

#include "sequoiausher/base/countedbytes.h"
#include "sequoiausher/base/nametable.h"
#include "sequoiausher/coordination/gateway/connectionledger.h"
#include "sequoiausher/coordination/gateway/connectiontimeouts.h"
#include "sequoiausher/coordination/gateway/memorybudget.h"
#include "sequoiausher/transport/gateway/gatewayexchange.h"
#include "sequoiausher/transport/stream/bytestream.h"
#include "sequoiausher/transport/stream/httpreader.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Sequoiausher {

/** Why a caller's connection ended. */
enum class CloseReason {
    /** The connection was unused for longer than the limit. */
    Idle,
    /** The connection was unused when the gateway stopped. */
    Stopping,
    /** The last answer announced that the connection closes after it. */
    Answered,
    /** A request could not be read. */
    Unreadable,
    /** An answer was cut off before its end. */
    CutOff,
    /** The caller closed it, or its link broke. */
    CallerLeft,
    /** There was no room for it. */
    Yielded,
};

template<>
inline constexpr auto nameTable<CloseReason> = std::to_array<NameEntry<CloseReason>>({
    {CloseReason::Idle, "idle"},
    {CloseReason::Stopping, "stopping"},
    {CloseReason::Answered, "answered"},
    {CloseReason::Unreadable, "unreadable"},
    {CloseReason::CutOff, "cut-off"},
    {CloseReason::CallerLeft, "caller-left"},
    {CloseReason::Yielded, "yielded"},
});

/** A caller's connection. */
class CallerConnection : public ByteStreamUser, public CallerSide
{
public:
    /** Called once when the connection has ended. Must not destroy the connection during the call. */
    using Gone = std::function<void(CallerConnection &connection)>;

    /** Takes ownership of the descriptor. context outlives this. */
    CallerConnection(GatewayContext &context, int descriptor, Gone gone);
    ~CallerConnection() override;
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    /** Checks all time limits. */
    void tick(Millis now);
    /** Whether a request is being answered, or its answer was not yet sent completely. */
    bool isBusy() const;
    /** Whether a part of a request has arrived. */
    bool isReading() const;
    /** Closes the connection because the gateway stops, if it is unused. */
    void closeForStop();
    /** Answers the request in progress with what is known of it, because the gateway cannot wait any longer. */
    void endForStop();
    /** Closes the connection at once. */
    void close();
    /**
     * Closes the connection because there is no room for it. A request of which a part has arrived is refused; a
     * caller that does not take its answer loses the rest of it.
     * @return whether it is closed; not if a whole request has just arrived on a connection without one.
     */
    bool yield();
    /** Returns the caller's address. */
    std::string peerAddress() const;

    void bytesArrived() override;
    void drained() override;
    void ended(StreamEnd how) override;

    void write(std::string_view bytes) override;
    void finished(bool closes) override;
    void cutOff() override;
    void abort() override;
    std::size_t pendingBytes() const override;
    std::uint64_t connectionNumber() const override;

private:
    void readRequests();
    void takeRequest();
    /** Asks for memory for the body whose head has been read. @return whether it may be read. */
    bool admitBody();
    /** Returns how much memory the body needs, as far as it is known. */
    std::size_t bodyMemoryNeeded() const;
    /** Follows the answer to a question for memory. @return whether the body may be read. */
    bool followBodyAdmission(BodyAdmission admission);
    void tickWaitingBody(Millis now);
    /**
     * Refuses a request whose body has not arrived yet, if a stop leaves it too little time, so that its caller goes
     * elsewhere while it has time. @return whether it was refused.
     */
    bool refuseForStop();
    void sendContinueIfAwaited();
    void refuse(int status, const std::string &reason, std::optional<Millis> retryAfter = std::nullopt);
    /** Writes the refusal of a request of which a part has arrived. */
    void writeRefusal(int status, const std::string &reason, std::optional<Millis> retryAfter);
    /** Whether the next request may be read now; pauses reading if not. */
    bool mayReadNext();
    /** Counts the memory of the head that was read. @return whether there is room for it. */
    bool admitHead();
    /** Tells the ledger what the connection holds and what it is used for. */
    void updateAccount(Millis now);
    ConnectionUse use(Millis now) const;
    void dropExchange();
    void tickUnused(Millis now);
    void tickPartial(Millis now);
    /** Closes a connection without a request in progress. */
    void closeUnused(CloseReason why);
    /** Closes the stream; a caller that sent requests ahead learns by a reset that they were not looked at. */
    void closeStream();
    /** Closes a connection after its last answer was written. */
    void closeGently(CloseReason why);
    void over(CloseReason why);
    HttpReaderLimits limits() const;

    GatewayContext &context;
    Gone gone;
    std::shared_ptr<ByteStream> stream;
    HttpReader reader;
    /** The memory of the body that is being read; null for none. */
    std::unique_ptr<BodyReservation> bodyMemory;
    bool isWaitingForMemory = false;
    /** The memory of the head of the request in progress. */
    CountedBytes headMemory;
    /** What the kernel has of the answer in progress and of its target, because the caller reads too slowly. */
    CountedBytes heldBack;
    std::shared_ptr<GatewayExchange> exchange;
    /** The requests that were taken in this turn of the event loop. */
    std::size_t requestsInTurn = 0;
    /** Further requests wait for the next turn. */
    bool awaitsTurn = false;
    /** When the kernel was last asked what the caller has acknowledged. */
    Millis askedAt;
    /** The number in the order in which this gateway accepted connections; identifies the connection in log lines. */
    std::uint64_t number;
    std::uint64_t requests = 0;
    IdleClock idle;
    /** The longest idle limit in force since the current request arrived; the head of its answer may announce it. */
    Millis longestLimit;
    /** The request that has arrived in part, if hasBytes. */
    PartialRequest partial;
    bool hasBytes = false;
    bool hasContinued = false;
    /** When the head of the current request was read; absent before. */
    std::optional<Millis> headAt;
    bool isOver = false;
    /** Set during readRequests(), so that a request which is answered at once does not start to read the next one. */
    bool isReadingNow = false;
};

} // namespace Sequoiausher
