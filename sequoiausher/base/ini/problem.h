#pragma once

// What is wrong in a settings file or a document, said so that its writer can mend it: where, what was found, what is
// expected, and the nearest known name where it looks like a typing error. Checks gather every problem before they
// give up, so that one run shows them all.
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

/** Whether a problem keeps the document from being used. */
enum class Severity {
    /** The document is refused. */
    Error,
    /** The document can be used; its writer most likely meant something else. */
    Warning,
};

template<>
inline constexpr auto nameTable<Severity> = std::to_array<NameEntry<Severity>>({
    {Severity::Error, "error"},
    {Severity::Warning, "warning"},
});

/** One thing that is wrong. Line and column count from 1; 0 where the problem has no place. */
struct Problem
{
    Severity severity = Severity::Error;
    std::string file;
    std::size_t line = 0;
    std::size_t column = 0;
    /** Empty outside every section. */
    std::string section;
    /** Empty where the problem is not about one key. */
    std::string key;
    std::string found;
    std::string expected;
    /** The known name that is nearest to what was found; empty where none is near. */
    std::string nearest;

    bool operator==(const Problem &) const = default;
};

using Problems = std::vector<Problem>;

/** The most problems that one check gathers; what is wrong beyond them shows once these are mended. */
inline constexpr std::size_t maximumProblems = 100;

/** One line: FILE:LINE:COLUMN: [section] key: found X, expected Y; did you mean 'Z'? Warnings say so. */
std::string toText(const Problem &problem);

/** Whether any of problems is an error. */
bool hasErrors(const Problems &problems);

/**
 * Whether addProblem() would take one more of that severity. The first error always finds room: were it dropped behind
 * a hundred warnings, a bad document would pass as good.
 */
bool hasRoom(const Problems &problems, Severity severity);

/** Appends problem where there is room; the first error takes the place of the last warning where need be. */
void addProblem(Problems &problems, Problem problem);

/** An error with every problem that led to it; its reason is their lines. */
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

/** @throws ProblemsError where any of problems is an error. */
void throwOnErrors(Step step, const std::string &file, const Problems &problems);

/** The one of known that differs from name in the fewest edits, at most a third of its length; else empty. */
std::string nearestName(std::string_view name, const std::vector<std::string> &known);

/** Text in quotes, shortened and with control characters replaced, so that a log line stays one line. */
std::string inQuotes(std::string_view text);

} // namespace Sequoiausher
