#include "sequoiausher/coordination/limits/reservationwindows.h"

#include <algorithm>

namespace Sequoiausher {

bool ReservationWindows::isOpen(Millis now, const OrganisationId &organisation, RequestClass requestClass) const
{
    const Windows &windows = this->classes[static_cast<std::size_t>(requestClass)];
    const auto found = windows.find(organisation);
    if (found == windows.end() || found->second.limit == 0) {
        return true;
    }
    return now >= found->second.pausedUntil && found->second.pending < found->second.limit;
}

void ReservationWindows::startReservation(const OrganisationId &organisation, RequestClass requestClass)
{
    this->classes[static_cast<std::size_t>(requestClass)][organisation].pending += 1;
}

void ReservationWindows::endReservation(const OrganisationId &organisation, RequestClass requestClass)
{
    Windows &windows = this->classes[static_cast<std::size_t>(requestClass)];
    const auto found = windows.find(organisation);
    if (found == windows.end()) {
        return;
    }
    Window &window = found->second;
    window.pending -= std::min<std::size_t>(window.pending, 1);
    if (window.limit > 0) {
        window.limit = window.limit + 1 < maxLimit ? window.limit + 1 : 0;
    }
    if (window.pending == 0 && window.limit == 0) {
        windows.erase(found);
    }
}

void ReservationWindows::recordFull(Millis pausedUntil, const OrganisationId &organisation, RequestClass requestClass)
{
    Window &window = this->classes[static_cast<std::size_t>(requestClass)][organisation];
    window.pending -= std::min<std::size_t>(window.pending, 1);
    window.limit = std::max<std::size_t>(window.pending, 1);
    window.pausedUntil = std::max(window.pausedUntil, pausedUntil);
}

Millis ReservationWindows::nextPauseEnd(Millis now) const
{
    Millis next = Millis::never();
    for (const Windows &windows : this->classes) {
        for (const auto &entry : windows) {
            if (entry.second.pausedUntil > now) {
                next = std::min(next, entry.second.pausedUntil);
            }
        }
    }
    return next;
}

} // namespace Sequoiausher
