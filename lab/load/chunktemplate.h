#pragma once

// Recognises the chunks of one stream that differ from an earlier one by nothing but their offset and their text, so
// that only the first needs a parser. A load tool that parses each chunk is slower than the routers it measures.
//
//     const auto chunks = ChunkTemplate::of(first, 0, "echo-n1 ");
//     chunks->fill(1, "other");               // parse this once: it tells whether both places are what they seem
//     chunks->match(second, 1);               // the text of the second chunk
//
// Goes wrong if the places were not those of the offset and the text: then a wrong answer would pass for a right one.
// A number in place of a number and plain characters in place of plain ones leave the structure of a JSON text as it
// is, so one parsed probe holds for every chunk that matches.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Sequoiausher::Lab {

/** What stands before, between and behind the offset and the text of a chunk. */
class ChunkTemplate
{
public:
    /** The template of a chunk whose offset and text are known; nothing where they are not found or not plain. */
    static std::optional<ChunkTemplate> of(std::string_view chunk, std::uint64_t offset, std::string_view text);

    /** A chunk with another offset and text. */
    std::string fill(std::uint64_t offset, std::string_view text) const;
    /** The text of chunk, where it is as the template with this offset and a plain text; it may be empty. */
    std::optional<std::string_view> match(std::string_view chunk, std::uint64_t offset) const;

private:
    std::string before;
    std::string between;
    std::string behind;
};

} // namespace Sequoiausher::Lab
