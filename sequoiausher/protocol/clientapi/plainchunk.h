#pragma once

// Reads from a chunk of a streamed answer what its check needs, without building a tree of the JSON. Only chunks that
// are plain are read; of others nothing is said, and a full parser decides.
//
//     if (const std::optional<PlainChunk> chunk = scanPlainChunk(event.data)) { compare(chunk->id, chunk->offset); }
//
// Goes wrong if the scan saw another value than a full parser: a foreign chunk might be relayed. So the whole text is
// checked against the grammar of RFC 8259 less escapes, fractions, exponents and bytes beyond ASCII, and whatever else
// is met ends the scan. The test compares it with the full parser on every chunk that one changed byte makes.

#include <cstdint>
#include <optional>
#include <string_view>

namespace Sequoiausher {

/** A chunk that neither ends its answer nor counts tokens. */
struct PlainChunk
{
    /** Within the scanned text. */
    std::string_view id;
    std::optional<std::uint64_t> offset;
};

/** @return nothing where the text is not plain, which says nothing about it. */
std::optional<PlainChunk> scanPlainChunk(std::string_view text);

} // namespace Sequoiausher
