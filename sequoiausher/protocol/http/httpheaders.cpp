#include "sequoiausher/protocol/http/httpheaders.h"

#include <algorithm>
#include <utility>

namespace Sequoiausher {

namespace {

char lowered(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool isTokenCharacter(char c)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    const char low = lowered(c);
    return (low >= 'a' && low <= 'z') || (c >= '0' && c <= '9') || marks.find(c) != std::string_view::npos;
}

} // namespace

bool sameHeaderName(std::string_view left, std::string_view right)
{
    return std::equal(
        left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) { return lowered(a) == lowered(b); });
}

bool isWritableHeader(const HttpHeader &header)
{
    constexpr std::string_view forbidden("\r\n\0", 3);
    return !header.name.empty() && std::all_of(header.name.begin(), header.name.end(), isTokenCharacter)
        && header.value.find_first_of(forbidden) == std::string::npos;
}

void HttpHeaders::add(std::string name, std::string value)
{
    this->entries.push_back({std::move(name), std::move(value)});
}

void HttpHeaders::set(std::string name, std::string value)
{
    this->remove(name);
    this->add(std::move(name), std::move(value));
}

void HttpHeaders::remove(std::string_view name)
{
    std::erase_if(this->entries, [name](const HttpHeader &header) { return sameHeaderName(header.name, name); });
}

bool HttpHeaders::has(std::string_view name) const
{
    return std::any_of(this->entries.begin(), this->entries.end(), [name](const HttpHeader &header) {
        return sameHeaderName(header.name, name);
    });
}

std::string_view HttpHeaders::value(std::string_view name) const
{
    for (const HttpHeader &header : this->entries) {
        if (sameHeaderName(header.name, name)) {
            return header.value;
        }
    }
    return {};
}

} // namespace Sequoiausher
