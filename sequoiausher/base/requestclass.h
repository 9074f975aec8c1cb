#pragma once

// The class of a request, which decides who waits and who is shed when there is more work than room.
//
//     const auto requestClass = parseName<RequestClass>("urgent");

#include "sequoiausher/base/nametable.h"

#include <cstddef>

namespace Sequoiausher {

/** The classes, first served first and last shed first. */
enum class RequestClass {
    /** Somebody cannot go on without it, such as a review-day report. */
    Urgent,
    Interactive,
    /** May wait, and is shed before anything else. */
    Background,
};

inline constexpr std::size_t requestClassCount = 3;

template<>
inline constexpr auto nameTable<RequestClass> = std::to_array<NameEntry<RequestClass>>({
    {RequestClass::Urgent, "urgent"},
    {RequestClass::Interactive, "interactive"},
    {RequestClass::Background, "background"},
});

} // namespace Sequoiausher
