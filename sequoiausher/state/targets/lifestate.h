#pragma once

// The life of an instance or a target as the fleet sees it. News merges by (incarnation, state), so old news never
// wins: within one incarnation a state only moves forward, and a later incarnation beats every earlier one.
//
//     if (isNewer({2, LifeState::Live}, {1, LifeState::Gone})) { ... } // true: it came back

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/nametable.h"

namespace Sequoiausher {

/** The states in their only order. */
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

/** A state and the life it belongs to. */
struct LifeNews
{
    Incarnation incarnation = 0;
    LifeState state = LifeState::Live;

    bool operator==(const LifeNews &) const = default;
};

/** Whether news replaces known. */
constexpr bool isNewer(const LifeNews &news, const LifeNews &known)
{
    return news.incarnation != known.incarnation ? news.incarnation > known.incarnation : news.state > known.state;
}

} // namespace Sequoiausher
