#pragma once

// Who this router is to its peers, and the limits of its links. The defaults fit peers within a region.
//
//     LinkSettings settings{InstanceId{"r1"}, incarnation, DataCentreId{"brest-1"}};

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"

#include <cstddef>

namespace Sequoiausher {

/** What every link of one router shares. */
struct LinkSettings
{
    InstanceId self;
    Incarnation incarnation = 0;
    DataCentreId dataCentre;
    /** A dialled connection on which something was sent and nothing heard for so long is silent: closed, redialled. */
    Millis silence{3000};
    /** A link that nobody sent on for so long is closed; the next message dials again. */
    Millis idleClose{30000};
    /** The wait before the first redial; it doubles up to redialMost, and each wait is drawn from its upper half. */
    Millis redialFirst{100};
    Millis redialMost{2000};
    /** A message that could not be sent for so long is dropped: whoever sent it has long gone on without it. */
    Millis messageLife{3000};
    /** What may wait on one link, in bytes as roughSize() counts them and in the socket. */
    std::size_t queueBytes = std::size_t{4} * 1024 * 1024;
    /** What may wait between post() and the control thread, in bytes, for all links together. */
    std::size_t postedBytes = std::size_t{16} * 1024 * 1024;
    /** Seeds the jitter of the waits. */
    std::uint64_t seed = 1;
};

} // namespace Sequoiausher
