#pragma once

// A strict INI document: sections and keys in their order in the text, each with its position.
//
//     Problems problems;
//     const IniDocument document = parseIni("[router]\nname = r1\n", "router.ini", problems);
//     document.sections[0].entries[0].line;   // 2
//
// Why not a library: Boost.PropertyTree's ini_parser keeps the order and rejects duplicates, but it stops at the first
// error, and its tree has no line numbers, so an invalid value (the most common error) could not be reported with its
// position; a second scan for the line numbers would duplicate this parser. QSettings sorts the keys and ignores
// errors.
//
// Syntax: `[section]` lines, `key = value` lines, empty lines, and comment lines that start with `;` or `#`. There are
// no comments after a value, no quotes and no continuation lines. Whitespace around keys and values is removed.

#include "sequoiausher/base/ini/problem.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace Sequoiausher {

/** The largest document that the platform's service stores, and the largest text that parseIni() reads by default. */
inline constexpr std::size_t maximumIniBytes = 1024UL * 1024UL;

/** A key with its value. */
struct IniEntry
{
    std::string key;
    std::string value;
    /** Line of the key and column of the value, counted from 1. */
    std::size_t line = 0;
    std::size_t column = 0;
};

/** A section with its keys in order. */
struct IniSection
{
    std::string name;
    std::size_t line = 0;
    std::vector<IniEntry> entries;
};

/** A document. */
struct IniDocument
{
    /** The name of the document in messages to operators. */
    std::string file;
    std::vector<IniSection> sections;
};

/**
 * Parses the whole text. Appends to problems: a text larger than maximumBytes, a section without its end, an empty
 * name, a key outside of any section, a line without '=', a duplicate key or section, and control characters. Returns
 * the valid part, so that further checks may find more problems.
 */
IniDocument parseIni(std::string_view text,
                     const std::string &file,
                     Problems &problems,
                     std::size_t maximumBytes = maximumIniBytes);

} // namespace Sequoiausher
