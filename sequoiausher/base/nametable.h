#pragma once

// Tables of names for enumerations, so that settings, logs and wire formats use the same name for each value.
//
//     enum class Colour { Red, Green };
//     template<>
//     inline constexpr auto nameTable<Colour> = std::to_array<NameEntry<Colour>>({
//         {Colour::Red, "red"},
//         {Colour::Green, "green"},
//     });
//     nameOf(Colour::Red);            // "red"
//     parseName<Colour>("green");     // Colour::Green
//     parseName<Colour>("blue");      // std::nullopt
//
// Specialise nameTable inside namespace Sequoiausher.

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace Sequoiausher {

/** An entry of a table of names. */
template<typename Enum>
struct NameEntry
{
    Enum value;
    std::string_view name;
};

/** The table of names of Enum. Each enumeration with names specialises it once, next to its definition. */
template<typename Enum>
inline constexpr std::array<NameEntry<Enum>, 0> nameTable{};

/** The name of the value; "?" if the table does not contain it. */
template<typename Enum>
constexpr std::string_view nameOf(Enum value)
{
    for (const auto &entry : nameTable<Enum>) {
        if (entry.value == value) {
            return entry.name;
        }
    }
    return "?";
}

/** The value with exactly this name; std::nullopt if there is none. */
template<typename Enum>
constexpr std::optional<Enum> parseName(std::string_view name)
{
    for (const auto &entry : nameTable<Enum>) {
        if (entry.name == name) {
            return entry.value;
        }
    }
    return std::nullopt;
}

/** All names of Enum, separated by commas, for error messages that state the expected values. */
template<typename Enum>
std::string allNames()
{
    std::string names;
    for (const auto &entry : nameTable<Enum>) {
        if (!names.empty()) {
            names += ", ";
        }
        names += entry.name;
    }
    return names;
}

} // namespace Sequoiausher
