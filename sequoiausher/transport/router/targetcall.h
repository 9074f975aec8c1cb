#pragma once

// Sends one request to its target, checks that the answer is complete and belongs to this request, and resumes a broken
// stream.
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

/** Receives the events of a call, on the client's thread. */
class TargetCallListener
{
public:
    virtual ~TargetCallListener() = default;

    /** The answer has begun. Called only after the check of the whole answer if it is not a stream. */
    virtual void targetHead(int status, const std::string &contentType) = 0;
    /** Checked bytes for the client. */
    virtual void targetPart(std::string_view bytes) = 0;
    /** The answer was whole. */
    virtual void targetComplete(const TokenUsage &usage) = 0;
    /** The call ended without a complete answer; it may be resumed or sent to another target. */
    virtual void targetFailed(TargetFailure failure, const std::string &reason) = 0;
};

/** The request. */
struct TargetRequest
{
    RequestId request;
    std::string method;
    /** Includes the query. */
    std::string path;
    HttpHeaders headers;
    std::string body;
    /** The request is a chat completion: its stream is checked chunk by chunk and can be resumed. */
    bool isChat = false;
    bool streamed = false;
    Millis firstByteTimeout{10000};
    /** The longest silence within a stream, after which the connection counts as lost. */
    Millis streamSilence{5000};
    Millis deadline = Millis::never();
};

/** The call. Belongs to the thread of its client. */
class TargetCall
{
public:
    /** @param client and listener outlive the call. */
    TargetCall(HttpClient &client, const TargetRequest &request, TargetCallListener &listener);
    /** Ends the call by closing the connection. */
    ~TargetCall();
    TargetCall(const TargetCall &) = delete;
    TargetCall &operator=(const TargetCall &) = delete;

    /** Sends the request to the address. @param fresh whether to use only a connection that is known to work. */
    void dispatch(const std::string &address, bool fresh);
    /** Requests the rest of the stream from the address. */
    void resumeStream(const std::string &address);
    /** Requests that the target stop, and closes the connection. */
    void cancel(const std::string &address);
    /** Detects a silent connection. To be called several times a second. */
    void tick(Millis now);
    /** Pauses and resumes reading, for a client that reads slowly. */
    void setPaused(bool paused);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
