#pragma once

// Stores the newest known life state of routers or targets, and which of these states still have to be sent to peers.
// Old news never replaces newer news.
//
//     LifeTable<TargetId> targets;
//     if (targets.merge(target, {4, LifeState::Leaving})) { ... new: now queued for gossip, and urgent ... }

#include "sequoiausher/coordination/membership/newsqueue.h"
#include "sequoiausher/state/targets/lifestate.h"

#include <map>
#include <optional>
#include <set>

namespace Sequoiausher {

/** The newest known life state of each name, and the names whose state still has to be sent. */
template<typename Name>
struct LifeTable
{
    std::map<Name, LifeNews> lives;
    NewsQueue<Name> queue;
    /** Names whose news is sent to a few peers at once, in probes with sequence 0, rather than only with regular
     * probes. */
    std::set<Name> urgent;

    /** Stores and queues life if it is newer than the known one; returns whether it was. */
    bool merge(const Name &name, const LifeNews &life)
    {
        const auto known = this->lives.find(name);
        if (known != this->lives.end() && !isNewer(life, known->second)) {
            return false;
        }
        // A return is as urgent as a departure: until every router has the news, routers disagree about which work
        // belongs to the returned instance or target.
        const bool isReturn = known != this->lives.end() && known->second.state != LifeState::Live;
        this->lives[name] = life;
        this->queue.add(name);
        if (life.state != LifeState::Live || isReturn) {
            this->urgent.insert(name);
        }
        return true;
    }

    std::optional<LifeNews> find(const Name &name) const
    {
        const auto known = this->lives.find(name);
        return known == this->lives.end() ? std::nullopt : std::optional(known->second);
    }
};

} // namespace Sequoiausher
