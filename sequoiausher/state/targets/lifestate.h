#pragma once

// The lifecycle state of an instance or a target as the fleet sees it. Updates are merged by (incarnation, state), so
// an old one never replaces a newer one: within one incarnation the state only moves forward, and a later incarnation
// replaces every earlier one.
//
//     if (isNewer({2, LifeState::Live}, {1, LifeState::Gone})) { ... } // true: it has restarted

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/nametable.h"

namespace Sequoiausher {

/** The states, in the only order in which they follow each other. */
enum class LifeState {
    Live,
    Leaving,
    Gone,
};

template<>
inline constexpr auto nameTable<LifeState> = std::to_array<NameEntry<LifeState>>({
    {LifeState::Live, "live"},
    {LifeState::Leaving, "leaving"},
    {LifeState::Gone, "gone"},
});

/** A state and the incarnation that it belongs to. */
struct LifeNews
{
    Incarnation incarnation = 0;
    LifeState state = LifeState::Live;

    bool operator==(const LifeNews &) const = default;
};

/** Whether the first state replaces the second one. */
constexpr bool isNewer(const LifeNews &news, const LifeNews &known)
{
    return news.incarnation != known.incarnation ? news.incarnation > known.incarnation : news.state > known.state;
}

} // namespace Sequoiausher
