#pragma once

// What a caller asks for, read from the headers and the body of its HTTP request and checked whole.
//
//     const ClientRequest request = parseClientRequest(head, body);   // throws BadRequest
//     request.chat;            // "order-desk-17", or a digest of how the chat began
//     request.requestClass;    // RequestClass::Urgent

#include "sequoiausher/base/millis.h"
#include "sequoiausher/base/requestclass.h"
#include "sequoiausher/protocol/clientapi/apierror.h"

#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace Sequoiausher {

/** The request cannot be served as it is; error says which header or field is at fault. */
class BadRequest : public std::runtime_error
{
public:
    explicit BadRequest(const ApiError &error) : std::runtime_error(error.message), apiError(error)
    {
    }

    const ApiError &error() const
    {
        return this->apiError;
    }

private:
    ApiError apiError;
};

/** The parts of an HTTP request that parseClientRequest reads. */
struct RequestHead
{
    std::string method;
    std::string path;
    /** The value of a header by its name, whatever the case; empty where there is none. */
    std::function<std::string(std::string_view)> header;
};

/** A caller's request, checked. */
struct ClientRequest
{
    std::string method;
    std::string path;
    /** The bearer key, not yet matched to an organisation. */
    std::string apiKey;
    RequestClass requestClass = RequestClass::Interactive;
    std::string chat;
    /** What names the part of the prompt that chats share: the caller's id, or a digest of the first message. */
    std::string prefix;
    std::string idempotencyKey;
    std::optional<Millis> deadline;
    /** A chat completion: the fields below are set. */
    bool isChat = false;
    std::string model;
    bool streamed = false;
    /** Bytes in all messages. */
    std::size_t promptLength = 0;
};

/** The path of chat completions. */
inline constexpr std::string_view chatCompletionsPath = "/v1/chat/completions";

/**
 * Reads a request and checks every field that the system uses; what it does not use is passed on unread.
 * @throws BadRequest with a status of 400 or 401.
 */
ClientRequest parseClientRequest(const RequestHead &head, std::string_view body);

} // namespace Sequoiausher
