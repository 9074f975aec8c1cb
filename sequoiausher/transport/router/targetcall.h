#pragma once

// One request's call to its target: sends it, checks that what comes back is the whole answer to this very request,
// and resumes a stream that broke.
//
//     TargetCall call(client, description, listener);
//     call.dispatch(address, true);
//     ... listener: headArrived, part..., complete   or   failed

#include "sequoiausher/coordination/flow/flowaction.h"
#include "sequoiausher/protocol/clientapi/answercheck.h"
#include "sequoiausher/transport/http/httpclient.h"

#include <memory>
#include <string>

namespace Sequoiausher {

/** What is told of a call, on the client's thread. */
class TargetCallListener
{
public:
    virtual ~TargetCallListener() = default;

    /** The answer begins. For an answer that is not streamed it comes only once the whole was checked. */
    virtual void targetHead(int status, const std::string &contentType) = 0;
    /** Checked bytes for the client. */
    virtual void targetPart(std::string_view bytes) = 0;
    /** The answer was whole. */
    virtual void targetComplete(const TokenUsage &usage) = 0;
    /** The call ended otherwise; it may be resumed or sent to another target. */
    virtual void targetFailed(TargetFailure failure, const std::string &reason) = 0;
};

/** What is sent. */
struct TargetRequest
{
    RequestId request;
    std::string method;
    /** With the query. */
    std::string path;
    HttpHeaders headers;
    std::string body;
    /** An engine's chat completion: its stream is checked chunk by chunk, and can be resumed. */
    bool isChat = false;
    bool streamed = false;
    Millis firstByteTimeout{10000};
    /** Longest silence within a stream; beyond it the connection counts as lost. */
    Millis streamSilence{5000};
    Millis deadline = Millis::never();
};

/** The call. Belongs to the thread of its client. */
class TargetCall
{
public:
    /** @param client and listener outlive the call. */
    TargetCall(HttpClient &client, const TargetRequest &request, TargetCallListener &listener);
    /** Ends the call without a word to the target but the closed connection. */
    ~TargetCall();
    TargetCall(const TargetCall &) = delete;
    TargetCall &operator=(const TargetCall &) = delete;

    /** Sends the request to address. @param fresh only over a connection known to work. */
    void dispatch(const std::string &address, bool fresh);
    /** Asks address for the rest of the stream. */
    void resumeStream(const std::string &address);
    /** Tells the target to stop, and closes the connection. */
    void cancel(const std::string &address);
    /** Notices a connection that went silent. Call a few times a second. */
    void tick(Millis now);
    /** Stops and goes on reading, for a client that reads slowly. */
    void setPaused(bool paused);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
