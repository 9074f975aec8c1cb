#pragma once

// The class of a request, which decides under overload which requests wait and which are shed.
//
//     const auto requestClass = parseName<RequestClass>("urgent");

#include "sequoiausher/base/nametable.h"

#include <cstddef>

namespace Sequoiausher {

/** The classes, in the order in which they are served; they are shed in the opposite order. */
enum class RequestClass {
    /** Someone is blocked until it is answered, as by a review-day report. */
    Urgent,
    Interactive,
    /** May wait, and is shed first. */
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
