#pragma once

// Errors towards callers, in the shape that OpenAI's client libraries read.
//
//     exchange.respond(401, headers, errorBody(ApiError{401, "invalid_api_key", "Unknown API key.", ""}));

#include <string>

namespace Sequoiausher {

/** One error answer. */
struct ApiError
{
    int status = 500;
    /** A short fixed word that programs compare. */
    std::string code;
    /** One sentence for people. */
    std::string message;
    /** The header or body field at fault, or empty. */
    std::string param;

    bool operator==(const ApiError &) const = default;
};

/** The JSON body of an error answer. */
std::string errorBody(const ApiError &error);

/** The same as a server-sent event, for an answer that has begun. */
std::string errorEvent(const ApiError &error);

} // namespace Sequoiausher
