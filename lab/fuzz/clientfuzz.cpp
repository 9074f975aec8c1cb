// Bytes from callers.

#include "lab/fuzz/fuzztargets.h"

#include "sequoiausher/protocol/clientapi/clientrequest.h"

#include <algorithm>
#include <cctype>

namespace Sequoiausher {

namespace {

/** The text up to the first separator, which is taken off rest with it; all of rest where there is none. */
std::string_view takeUntil(std::string_view &rest, std::string_view separator)
{
    const std::size_t end = rest.find(separator);
    const std::string_view part = rest.substr(0, end);
    rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + separator.size());
    return part;
}

bool isSameName(std::string_view one, std::string_view other)
{
    return std::equal(one.begin(), one.end(), other.begin(), other.end(), [](unsigned char a, unsigned char b) {
        return std::tolower(a) == std::tolower(b);
    });
}

std::string headerOf(std::string_view headers, std::string_view name)
{
    while (!headers.empty()) {
        std::string_view line = takeUntil(headers, "\n");
        if (isSameName(takeUntil(line, ": "), name)) {
            return std::string(line);
        }
    }
    return {};
}

void checkAccepted(const ClientRequest &request)
{
    if (request.apiKey.empty()) {
        throw FuzzFinding("a request without a key was accepted");
    }
    if (request.isChat && (request.model.empty() || request.chat.empty())) {
        throw FuzzFinding("a chat without a model or a name was accepted");
    }
}

} // namespace

void feedRequest(std::string_view bytes)
{
    std::string_view rest = bytes;
    const std::string_view top = takeUntil(rest, "\n\n");
    std::string_view headers = top;
    std::string_view first = takeUntil(headers, "\n");
    RequestHead head;
    head.method = takeUntil(first, " ");
    head.path = first;
    head.header = [headers](std::string_view name) { return headerOf(headers, name); };
    try {
        checkAccepted(parseClientRequest(head, rest));
    } catch (const BadRequest &refusal) {
        const int status = refusal.error().status;
        if (status != 400 && status != 401) {
            throw FuzzFinding("refused with status " + std::to_string(status));
        }
        errorBody(refusal.error());
        errorEvent(refusal.error());
    }
}

} // namespace Sequoiausher
