#pragma once

// What is known of the lives of routers or targets, merged so that old news never wins, and what is still to be told.
//
//     LifeTable<TargetId> targets;
//     if (targets.merge(target, {4, LifeState::Leaving})) { ... new: passed on, and pushed at once ... }

#include "sequoiausher/coordination/membership/newsqueue.h"
#include "sequoiausher/state/targets/lifestate.h"

#include <map>
#include <optional>
#include <set>

namespace Sequoiausher {

/** The newest news of each name, and what is still to be told. */
template<typename Name>
struct LifeTable
{
    std::map<Name, LifeNews> lives;
    NewsQueue<Name> queue;
    /** To be pushed at the next tick. */
    std::set<Name> urgent;

    bool merge(const Name &name, const LifeNews &life)
    {
        const auto known = this->lives.find(name);
        if (known != this->lives.end() && !isNewer(life, known->second)) {
            return false;
        }
        // A return is as urgent as a leaving: until all know it, they disagree about what is its work again.
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
