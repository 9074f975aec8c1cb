#pragma once

// The header fields of an answer that announce whether its connection stays open.
//
//     bytes += connectionFields({.closes = false, .idleLimit = Millis{15000}});  // Keep-Alive: timeout=12

#include "sequoiausher/base/millis.h"

#include <string>

namespace Sequoiausher {

/** Whether a connection stays open after an answer. */
struct ConnectionFate
{
    /** The connection closes, so that no further request may be sent on it. */
    bool closes = false;
    /** The idle time after which a connection that stays open is closed. */
    Millis idleLimit;
};

/**
 * The fields, each with its line end. A connection that stays is announced for less than its limit
 * (announcedIdleTime()), in whole seconds; where that is under a second nothing is announced.
 */
std::string connectionFields(const ConnectionFate &fate);

} // namespace Sequoiausher
