#pragma once

// A stream of lines to a descriptor that never blocks. The reader of the lines may stop reading, and a process that
// waited for it would not answer its callers any more. Lines for which there is no room are dropped as a whole; the
// next line that is written states their number.
//
//     LineStream lines(STDOUT_FILENO);
//     Log log(settings, lines.stream(), clock);

#include <cstdint>
#include <memory>
#include <ostream>

namespace Sequoiausher {

/** Writes whole lines to a descriptor, which it makes non-blocking and does not own. */
class LineStream
{
public:
    explicit LineStream(int descriptor);
    ~LineStream();
    LineStream(const LineStream &) = delete;
    LineStream &operator=(const LineStream &) = delete;

    /** Lines are written at each flush. */
    std::ostream &stream();
    /** The number of lines dropped so far. */
    std::uint64_t dropped() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
