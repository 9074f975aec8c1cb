#pragma once

// A stream of lines to a descriptor that never waits. Whoever reads the lines may stop reading; a process that waited
// for it would stop answering its callers. Lines that find no room are dropped whole, and counted in the next that
// does.
//
//     LineStream lines(STDOUT_FILENO);
//     Log log(settings, lines.stream(), clock);

#include <cstdint>
#include <memory>
#include <ostream>

namespace Sequoiausher {

/** Writes whole lines to a descriptor, which it sets non-blocking; the descriptor stays the caller's. */
class LineStream
{
public:
    explicit LineStream(int descriptor);
    ~LineStream();
    LineStream(const LineStream &) = delete;
    LineStream &operator=(const LineStream &) = delete;

    /** Lines go out at each flush. */
    std::ostream &stream();
    /** Lines that found no room so far. */
    std::uint64_t dropped() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
