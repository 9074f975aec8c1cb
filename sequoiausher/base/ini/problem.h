#pragma once

// Errors and warnings about a settings file or a document, with all that its author needs to correct it: the position,
// what was found, what is expected, and the most similar known name for a likely misspelling. Checks collect all
// problems before they fail, so that one run shows all of them.
//
//     Problems problems;
//     problems.push_back({Severity::Error, "router.ini", 3, 11, "router", "workers", "'many'", "a whole number", ""});
//     throwOnErrors(Step::Settings, "router.ini", problems);
//     // router.ini:3:11: [router] workers: found 'many', expected a whole number

#include "sequoiausher/base/error.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace Sequoiausher {

/** Whether a problem prevents the use of the document. */
enum class Severity {
    /** The document is rejected. */
    Error,
    /** The document can be used, but is probably not what its author intended. */
    Warning,
};

template<>
inline constexpr auto nameTable<Severity> = std::to_array<NameEntry<Severity>>({
    {Severity::Error, "error"},
    {Severity::Warning, "warning"},
});

/** One problem. Line and column are counted from 1; 0 if the problem has no position. */
struct Problem
{
    Severity severity = Severity::Error;
    std::string file;
    std::size_t line = 0;
    std::size_t column = 0;
    /** Empty outside of any section. */
    std::string section;
    /** Empty if the problem does not concern a single key. */
    std::string key;
    std::string found;
    std::string expected;
    /** The known name that is most similar to what was found; empty if none is similar. */
    std::string nearest;

    bool operator==(const Problem &) const = default;
};

using Problems = std::vector<Problem>;

/** The maximum number of problems that one check collects; others are reported once these are corrected. */
inline constexpr std::size_t maximumProblems = 100;

/** One line: FILE:LINE:COLUMN: [section] key: found X, expected Y; did you mean 'Z'? Warnings are marked. */
std::string toText(const Problem &problem);

/** Whether any of the problems is an error. */
bool hasErrors(const Problems &problems);

/**
 * Whether addProblem() would add another problem of this severity. The first error is always added, because a document
 * whose only error was dropped after a hundred warnings would count as valid.
 */
bool hasRoom(const Problems &problems, Severity severity);

/** Appends the problem if there is room; if necessary, the first error replaces the last warning. */
void addProblem(Problems &problems, Problem problem);

/** An error with all problems that caused it; its reason consists of their lines. */
class ProblemsError : public Error
{
public:
    ProblemsError(Step step, const std::string &file, Problems found);

    const Problems &problems() const
    {
        return this->all;
    }

private:
    Problems all;
};

/** @throws ProblemsError if any of the problems is an error. */
void throwOnErrors(Step step, const std::string &file, const Problems &problems);

/** The known name with the fewest edits from the given one, at most a third of its length; empty if there is none. */
std::string nearestName(std::string_view name, const std::vector<std::string> &known);

/** The text in quotes, truncated and with control characters replaced, so that it does not break a log line. */
std::string inQuotes(std::string_view text);

} // namespace Sequoiausher
