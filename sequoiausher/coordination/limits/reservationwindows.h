#pragma once

// How many requests of one organisation and class may be asking a pool's owner for a place at a time.
//
//     if (windows.isOpen(now, organisation, requestClass)) { windows.startReservation(organisation, requestClass); ask
//     the owner } windows.recordFull(now + pause, organisation, requestClass);   // the owner had no room for it
//     windows.endReservation(organisation, requestClass);            // it got a place, or no longer startReservation
//
// A full pool is full for a class and for an organisation that holds more than its share, while others still have
// room. Goes wrong if one such answer held back the whole queue: each background request that finds no room makes the
// urgent ones of its router wait, which shows as a surge of one organisation that moves everybody's first token.
//
// After an answer of full, a window of as many as still ask, at least one; it grows by one with each place got. Without
// the window a long backlog would ask anew in full after each pause.

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"
#include "sequoiausher/base/requestclass.h"

#include <array>
#include <cstddef>
#include <map>

namespace Sequoiausher {

/** The windows of one pool. Not thread-safe. */
class ReservationWindows
{
public:
    /** A window that has grown to this size is no window any more. */
    static constexpr std::size_t maxLimit = 64;

    /** Whether another one may ask now. */
    bool isOpen(Millis now, const OrganisationId &organisation, RequestClass requestClass) const;

    void startReservation(const OrganisationId &organisation, RequestClass requestClass);
    void endReservation(const OrganisationId &organisation, RequestClass requestClass);
    void recordFull(Millis pausedUntil, const OrganisationId &organisation, RequestClass requestClass);

    /** The first end of a pause after now, or Millis::never(). */
    Millis nextPauseEnd(Millis now) const;

private:
    struct Window
    {
        std::size_t pending = 0;
        /** 0 for none. */
        std::size_t limit = 0;
        Millis pausedUntil;
    };

    using Windows = std::map<OrganisationId, Window>;

    std::array<Windows, requestClassCount> classes;
};

} // namespace Sequoiausher
