#include "lab/load/chunktemplate.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace Sequoiausher::Lab {

namespace {

constexpr std::string_view offsetKey = R"("offset":)";
constexpr std::string_view textKey = R"("content":")";

/** Whether no character of text has a meaning of its own in a JSON string. */
bool isPlain(std::string_view text)
{
    return std::all_of(
        text.begin(), text.end(), [](char c) { return c >= ' ' && c < '\x7f' && c != '"' && c != '\\'; });
}

bool takePrefix(std::string_view &text, std::string_view prefix)
{
    if (text.substr(0, prefix.size()) != prefix) {
        return false;
    }
    text.remove_prefix(prefix.size());
    return true;
}

bool takeSuffix(std::string_view &text, std::string_view suffix)
{
    if (text.size() < suffix.size() || text.substr(text.size() - suffix.size()) != suffix) {
        return false;
    }
    text.remove_suffix(suffix.size());
    return true;
}

} // namespace

std::optional<ChunkTemplate> ChunkTemplate::of(std::string_view chunk, std::uint64_t offset, std::string_view text)
{
    const std::string digits = std::to_string(offset);
    const std::size_t offsetAt = chunk.find(std::string(offsetKey) + digits);
    const std::size_t textAt = chunk.find(std::string(textKey) + std::string(text) + '"');
    if (offsetAt == std::string_view::npos || textAt == std::string_view::npos || textAt < offsetAt || !isPlain(text)) {
        return std::nullopt;
    }
    const std::size_t offsetEnd = offsetAt + offsetKey.size() + digits.size();
    const std::size_t textBegin = textAt + textKey.size();
    ChunkTemplate made;
    made.before = chunk.substr(0, offsetAt + offsetKey.size());
    made.between = chunk.substr(offsetEnd, textBegin - offsetEnd);
    made.behind = chunk.substr(textBegin + text.size());
    return made;
}

std::string ChunkTemplate::fill(std::uint64_t offset, std::string_view text) const
{
    return this->before + std::to_string(offset) + this->between + std::string(text) + this->behind;
}

std::optional<std::string_view> ChunkTemplate::match(std::string_view chunk, std::uint64_t offset) const
{
    std::array<char, 20> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), offset);
    const std::string_view number(digits.data(), static_cast<std::size_t>(end.ptr - digits.data()));
    std::string_view text = chunk;
    const bool matches = takePrefix(text, this->before) && takePrefix(text, number) && takePrefix(text, this->between)
        && takeSuffix(text, this->behind);
    if (!matches || !isPlain(text)) {
        return std::nullopt;
    }
    return text;
}

} // namespace Sequoiausher::Lab
