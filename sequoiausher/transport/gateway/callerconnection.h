#pragma once

// One connection of a caller: reads its requests one after the other, and gives each its answer.
//
//     auto connection = std::make_shared<CallerConnection>(context, descriptor, [](CallerConnection &gone) { ... });

#include "sequoiausher/transport/gateway/gatewayexchange.h"
#include "sequoiausher/transport/stream/bytestream.h"
#include "sequoiausher/transport/stream/httpreader.h"

#include <functional>
#include <memory>

namespace Sequoiausher {

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
    /** Whether a request is being answered. */
    bool isBusy() const;
    /** Whether part of a request has come. */
    bool isReading() const;
    /** Closes it in order: a request that crosses the close has not been read, so the caller may send it elsewhere. */
    void closeGently();
    /** Closes it at once. */
    void close();

    void bytesArrived() override;
    void drained() override;
    void ended(StreamEnd how) override;

    void write(std::string_view bytes) override;
    void finished(bool closes) override;
    void cutOff() override;
    std::size_t pendingBytes() const override;

private:
    void readRequests();
    void takeRequest();
    void refuse(int status, const std::string &reason);
    void dropExchange();
    void over();
    HttpReaderLimits limits() const;

    GatewayContext &context;
    Gone gone;
    std::shared_ptr<ByteStream> stream;
    HttpReader reader;
    std::shared_ptr<GatewayExchange> exchange;
    /** Since when the connection is unused, or the first byte of a request is there. */
    Millis since;
    bool hasBytes = false;
    bool hasContinued = false;
    bool isOver = false;
    /** In readRequests(): an answer that is given at once must not read the next request inside the first. */
    bool isReadingNow = false;
};

} // namespace Sequoiausher
