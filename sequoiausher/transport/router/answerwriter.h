#pragma once

// Formats the answer to one caller: head, parts and end, or an error instead, with the header fields of all answers.
//
//     AnswerWriter writer(exchange, request, router);
//     writer.refuse(refusal);

#include "sequoiausher/coordination/flow/flowaction.h"
#include "sequoiausher/protocol/clientapi/apierror.h"
#include "sequoiausher/transport/http/httpserver.h"

#include <memory>
#include <string>

namespace Sequoiausher {

/** Writes one answer; calls after its end have no effect. */
class AnswerWriter
{
public:
    AnswerWriter(std::shared_ptr<HttpExchange> exchange, const RequestId &request, const InstanceId &router);

    /** The answer belongs to an earlier attempt and has that attempt's id, as its chunks do. */
    void attachedTo(const RequestId &attempt);
    /** Begins the answer. If streamed, parts are written as they arrive; otherwise they are collected until the end. */
    void head(int status, const std::string &contentType, bool streamed, Ran ran, const TargetId &target);
    void part(std::string_view bytes);
    void end();
    /** Writes an error instead of an answer. @param retryAfter zero for none; rounded up to whole seconds. */
    void error(const ApiError &error, Ran ran, Millis retryAfter);
    /** Ends an incomplete answer: with an error event if it is a stream, and without an end mark. */
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

/** The reason as it is written to callers: a code and a sentence. */
ApiError refusalError(const Refuse &refuse);

} // namespace Sequoiausher
