#pragma once

// Limits how many reservations of one organisation and class may be pending at the owner of a pool at a time.
//
//     if (windows.isOpen(now, organisation, requestClass)) {
//         windows.startReservation(organisation, requestClass);    // and send the request to the owner
//     }
//     windows.recordFull(now + pause, organisation, requestClass); // the owner had no room
//     windows.endReservation(organisation, requestClass);          // granted, or no longer awaited
//
// A pool may be full for a class, or for an organisation that uses more than its share, while it has room for others.
// So a refused reservation holds back only its own organisation and class. If it held back the whole queue, each
// refused background request would make the urgent requests of its router wait, and a surge of one organisation would
// delay the first token of all.
//
// After a refusal, the limit is the number of reservations that are still pending, at least one. It grows by one with
// each reservation that ends. Without this limit, a long backlog would send all its reservations again after each
// pause.

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
    /** A limit that has grown to this value is removed. */
    static constexpr std::size_t maxLimit = 64;

    /** Whether another reservation may start now. */
    bool isOpen(Millis now, const OrganisationId &organisation, RequestClass requestClass) const;

    /** Counts a reservation as pending. */
    void startReservation(const OrganisationId &organisation, RequestClass requestClass);
    /** Ends a pending reservation that was granted or is no longer awaited, and raises the limit. */
    void endReservation(const OrganisationId &organisation, RequestClass requestClass);
    /** Ends a pending reservation that the owner had no room for; no other one may start before pausedUntil. */
    void recordFull(Millis pausedUntil, const OrganisationId &organisation, RequestClass requestClass);

    /** Returns when the first pause ends after now, or Millis::never(). */
    Millis nextPauseEnd(Millis now) const;

private:
    struct Window
    {
        std::size_t pending = 0;
        /** 0 if there is no limit. */
        std::size_t limit = 0;
        Millis pausedUntil;
    };

    using Windows = std::map<OrganisationId, Window>;

    std::array<Windows, requestClassCount> classes;
};

} // namespace Sequoiausher
