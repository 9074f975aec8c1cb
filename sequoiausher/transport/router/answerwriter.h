#pragma once

// The answer to one caller: head, parts and end, or an error in their place, with the headers that every answer has.
//
//     AnswerWriter writer(exchange, request, router);
//     writer.refuse(refusal);

#include "sequoiausher/coordination/flow/flowaction.h"
#include "sequoiausher/protocol/clientapi/apierror.h"
#include "sequoiausher/transport/http/httpserver.h"

#include <memory>
#include <string>

namespace Sequoiausher {

/** Writes one answer; whatever comes after its end is ignored. */
class AnswerWriter
{
public:
    AnswerWriter(std::shared_ptr<HttpExchange> exchange, const RequestId &request, const InstanceId &router);

    /** The answer is that of an earlier attempt: it carries that attempt's id, as its chunks do. */
    void attachedTo(const RequestId &attempt);
    /** Begins the answer. With streamed parts go out as they come; else they are gathered until the end. */
    void head(int status, const std::string &contentType, bool streamed, Ran ran, const TargetId &target);
    void part(std::string_view bytes);
    void end();
    /** An error in place of an answer. @param retryAfter zero for none; rounded up to whole seconds. */
    void error(const ApiError &error, Ran ran, Millis retryAfter);
    /** An answer that began cannot be completed: an error event where it is a stream, and no end mark. */
    void breakOff(const ApiError &error);

    HttpExchange &exchange();

private:
    HttpHeaders commonHeaders(Ran ran) const;

    std::shared_ptr<HttpExchange> http;
    RequestId request;
    InstanceId router;
    bool streaming = false;
    bool ended = false;
    int status = 0;
    HttpHeaders headers;
    std::string whole;
};

/** What callers are told of the reason, as code and sentence. */
ApiError refusalError(const Refuse &refuse);

} // namespace Sequoiausher
