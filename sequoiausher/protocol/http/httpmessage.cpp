#include "sequoiausher/protocol/http/httpmessage.h"

#include <array>
#include <utility>

namespace Sequoiausher {

std::size_t memoryOf(const HttpHeaders &headers)
{
    std::size_t bytes = headers.entries.capacity() * sizeof(HttpHeader);
    for (const HttpHeader &header : headers.entries) {
        bytes += header.name.size() + header.value.size();
    }
    return bytes;
}

std::size_t memoryOfAnswerHead(const HttpHead &head)
{
    return 2 * memoryOf(head.headers);
}

BodyFraming framingOf(const HttpHead &head)
{
    if (head.chunked) {
        return BodyFraming::Chunks;
    }
    return head.contentLength ? BodyFraming::Length : BodyFraming::Close;
}

bool listHolds(std::string_view list, std::string_view word)
{
    while (!list.empty()) {
        const std::size_t comma = list.find(',');
        std::string_view part = list.substr(0, comma);
        list = comma == std::string_view::npos ? std::string_view() : list.substr(comma + 1);
        const std::size_t first = part.find_first_not_of(" \t");
        if (first == std::string_view::npos) {
            continue;
        }
        part = part.substr(first, part.find_last_not_of(" \t") - first + 1);
        if (sameHeaderName(part, word)) {
            return true;
        }
    }
    return false;
}

std::string_view reasonOf(int status)
{
    constexpr auto reasons = std::to_array<std::pair<int, std::string_view>>({
        {200, "OK"},
        {202, "Accepted"},
        {204, "No Content"},
        {400, "Bad Request"},
        {401, "Unauthorized"},
        {404, "Not Found"},
        {408, "Request Timeout"},
        {413, "Content Too Large"},
        {421, "Misdirected Request"},
        {429, "Too Many Requests"},
        {431, "Request Header Fields Too Large"},
        {500, "Internal Server Error"},
        {501, "Not Implemented"},
        {502, "Bad Gateway"},
        {503, "Service Unavailable"},
        {504, "Gateway Timeout"},
    });
    for (const auto &[known, reason] : reasons) {
        if (known == status) {
            return reason;
        }
    }
    return "Status";
}

} // namespace Sequoiausher
