#pragma once

// A strict INI text: sections and keys in the order in which they stand, each with its place.
//
//     Problems problems;
//     const IniDocument document = parseIni("[router]\nname = r1\n", "router.ini", problems);
//     document.sections[0].entries[0].line;   // 2
//
// Boost.PropertyTree's ini_parser was weighed: it keeps the order and refuses duplicates, but the tree that it returns
// has no lines, so a bad value (the most common mistake) could not be reported with its place, and it stops at the
// first mistake. Finding the lines by a second scan would be this reader once more. QSettings sorts keys and forgives
// mistakes.
//
// The text: `[section]` lines, `key = value` lines, empty lines, and comment lines that start with `;` or `#`. There
// are no comments behind a value, no quotes and no continued lines. Space around keys and values is dropped.

#include "sequoiausher/base/ini/problem.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace Sequoiausher {

/** The largest text that parseIni() reads: what the platform's service holds in one document. */
inline constexpr std::size_t maximumIniBytes = 1024UL * 1024UL;

/** One key with its value. */
struct IniEntry
{
    std::string key;
    std::string value;
    /** Line of the key and column of the value, counted from 1. */
    std::size_t line = 0;
    std::size_t column = 0;
};

/** One section with its keys in order. */
struct IniSection
{
    std::string name;
    std::size_t line = 0;
    std::vector<IniEntry> entries;
};

/** A whole text. */
struct IniDocument
{
    /** As an operator would name it, for messages. */
    std::string file;
    std::vector<IniSection> sections;
};

/**
 * Reads text whole. Appends to problems: text above maximumIniBytes, a section without its end, an empty name, a key
 * outside every section, a line without '=', a duplicate key or section, and control characters. What could be read
 * is returned, so that further checks may find more problems.
 */
IniDocument parseIni(std::string_view text, const std::string &file, Problems &problems);

} // namespace Sequoiausher
