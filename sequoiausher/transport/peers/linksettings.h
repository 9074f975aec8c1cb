#pragma once

// The identity of this router towards its peers, and the limits of its links. The defaults suit peers within a region.
//
//     LinkSettings settings{InstanceId{"r1"}, incarnation, DataCentreId{"brest-1"}};

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"

#include <cstddef>

namespace Sequoiausher {

/** The settings that all links of one router share. */
struct LinkSettings
{
    InstanceId self;
    Incarnation incarnation = 0;
    DataCentreId dataCentre;
    /** A connection on which bytes were sent and none arrived for this time counts as silent and is replaced. */
    Millis silence{3000};
    /** A link without messages for this time is closed; the next message opens it again. */
    Millis idleClose{30000};
    /** The delay before the first retry. It doubles up to redialMost; each delay is drawn from its upper half. */
    Millis redialFirst{100};
    Millis redialMost{2000};
    /** A message that was not sent within this time is dropped: its sender has stopped waiting for a reply. */
    Millis messageLife{3000};
    /** The size limit of the queue of one link, in bytes by roughSize() and in the socket. */
    std::size_t queueBytes = std::size_t{4} * 1024 * 1024;
    /** The size limit of the messages between post() and the control thread, in bytes, for all links together. */
    std::size_t postedBytes = std::size_t{16} * 1024 * 1024;
    /** Accepted connections whose peer has not said who it is, at a time; beyond it the oldest one is closed. */
    std::size_t maxUnknownPeers = 256;
    /** Accepted connections at a time; beyond it further ones are closed at once. */
    std::size_t maxAccepted = 100000;
    /** Seeds the jitter of the delays. */
    std::uint64_t seed = 1;
};

} // namespace Sequoiausher
