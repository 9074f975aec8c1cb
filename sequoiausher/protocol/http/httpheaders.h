#pragma once

// The header fields of one HTTP message, in the order in which they came; names compare without regard to case.
//
//     HttpHeaders headers;
//     headers.add("X-Request-Id", id);
//     headers.value("x-request-id");   // id, or empty where there is none

#include <string>
#include <string_view>
#include <vector>

namespace Sequoiausher {

/** One header field. */
struct HttpHeader
{
    std::string name;
    std::string value;
};

/** Whether both names are the same header (RFC 9110, section 5.1: names have no case). */
bool sameHeaderName(std::string_view left, std::string_view right);

/**
 * Whether the field can be written as it stands: a non-empty name of token characters, and no CR, LF or NUL in
 * the value. A field that fails would let a caller add header lines of his own to a message to a target.
 */
bool isWritableHeader(const HttpHeader &header);

/** The fields of one message. */
struct HttpHeaders
{
    std::vector<HttpHeader> entries;

    /** Appends a field, also where one of the name is there already. */
    void add(std::string name, std::string value);
    /** Replaces all fields of the name by one. */
    void set(std::string name, std::string value);
    /** Takes away all fields of the name. */
    void remove(std::string_view name);
    /** Whether there is a field of the name. */
    bool has(std::string_view name) const;
    /** The value of the first field of the name; empty where there is none. */
    std::string_view value(std::string_view name) const;
};

} // namespace Sequoiausher
