#pragma once

// The fields by which an answer's head says what becomes of its connection.
//
//     bytes += connectionFields({.closes = false, .idleLimit = Millis{15000}});  // Keep-Alive: timeout=12

#include "sequoiausher/base/millis.h"

#include <string>

namespace Sequoiausher {

/** What becomes of a connection after an answer. */
struct ConnectionFate
{
    /** It closes: nothing more may be sent on it. */
    bool closes = false;
    /** Otherwise it is closed once it was idle for so long. */
    Millis idleLimit;
};

/**
 * The fields, each with its line end. A connection that stays is announced for less than its limit
 * (announcedIdleTime()), in whole seconds; where that is under a second nothing is announced.
 */
std::string connectionFields(const ConnectionFate &fate);

} // namespace Sequoiausher
