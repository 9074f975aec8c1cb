#include "sequoiausher/coordination/limits/askwindows.h"

#include <algorithm>

namespace Sequoiausher {

bool AskWindows::isOpen(Millis now, const OrganisationId &organisation, RequestClass requestClass) const
{
    const Windows &windows = this->classes[static_cast<std::size_t>(requestClass)];
    const auto found = windows.find(organisation);
    if (found == windows.end() || found->second.most == 0) {
        return true;
    }
    return now >= found->second.pausedUntil && found->second.asking < found->second.most;
}

void AskWindows::asks(const OrganisationId &organisation, RequestClass requestClass)
{
    this->classes[static_cast<std::size_t>(requestClass)][organisation].asking += 1;
}

void AskWindows::answered(const OrganisationId &organisation, RequestClass requestClass)
{
    Windows &windows = this->classes[static_cast<std::size_t>(requestClass)];
    const auto found = windows.find(organisation);
    if (found == windows.end()) {
        return;
    }
    Window &window = found->second;
    window.asking -= std::min<std::size_t>(window.asking, 1);
    if (window.most > 0) {
        window.most = window.most + 1 < widest ? window.most + 1 : 0;
    }
    if (window.asking == 0 && window.most == 0) {
        windows.erase(found);
    }
}

void AskWindows::full(Millis pausedUntil, const OrganisationId &organisation, RequestClass requestClass)
{
    Window &window = this->classes[static_cast<std::size_t>(requestClass)][organisation];
    window.asking -= std::min<std::size_t>(window.asking, 1);
    window.most = std::max<std::size_t>(window.asking, 1);
    window.pausedUntil = std::max(window.pausedUntil, pausedUntil);
}

Millis AskWindows::nextEnd(Millis now) const
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
