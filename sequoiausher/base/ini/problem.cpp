#include "sequoiausher/base/ini/problem.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace Sequoiausher {

namespace {

std::string allLines(const Problems &problems)
{
    std::string lines;
    for (const Problem &problem : problems) {
        lines += lines.empty() ? "" : "\n";
        lines += toText(problem);
    }
    return lines;
}

/** The number of insertions, deletions and replacements between the two names. */
std::size_t editDistance(std::string_view one, std::string_view other)
{
    std::vector<std::size_t> row(other.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 0; i < one.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < other.size(); ++j) {
            const std::size_t replaced = diagonal + (one[i] == other[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({replaced, row[j] + 1, row[j + 1] + 1});
        }
    }
    return row.back();
}

} // namespace

std::string toText(const Problem &problem)
{
    std::string text = problem.file;
    if (problem.line > 0) {
        text += ":" + std::to_string(problem.line);
    }
    if (problem.column > 0) {
        text += ":" + std::to_string(problem.column);
    }
    text += ": ";
    if (problem.severity == Severity::Warning) {
        text += "warning: ";
    }
    if (!problem.section.empty()) {
        text += "[" + problem.section + "]";
        text += problem.key.empty() ? ": " : " ";
    }
    if (!problem.key.empty()) {
        text += problem.key + ": ";
    }
    text += "found " + problem.found + ", expected " + problem.expected;
    if (!problem.nearest.empty()) {
        text += "; did you mean '" + problem.nearest + "'?";
    }
    return text;
}

bool hasErrors(const Problems &problems)
{
    return std::any_of(
        problems.begin(), problems.end(), [](const Problem &problem) { return problem.severity == Severity::Error; });
}

bool hasRoom(const Problems &problems, Severity severity)
{
    return problems.size() < maximumProblems || (severity == Severity::Error && !hasErrors(problems));
}

void addProblem(Problems &problems, Problem problem)
{
    if (!hasRoom(problems, problem.severity)) {
        return;
    }
    if (problems.size() >= maximumProblems) {
        problems.pop_back();
    }
    problems.push_back(std::move(problem));
}

ProblemsError::ProblemsError(Step step, const std::string &file, Problems found)
    : Error(step, file, allLines(found))
    , all(std::move(found))
{
}

void throwOnErrors(Step step, const std::string &file, const Problems &problems)
{
    if (hasErrors(problems)) {
        throw ProblemsError(step, file, problems);
    }
}

std::string nearestName(std::string_view name, const std::vector<std::string> &known)
{
    constexpr std::size_t longestCompared = 64;
    constexpr std::size_t lettersPerEdit = 3;
    if (name.size() > longestCompared) {
        return {};
    }
    std::string nearest;
    std::size_t fewest = std::max<std::size_t>(1, name.size() / lettersPerEdit) + 1;
    for (const std::string &candidate : known) {
        const std::size_t edits = editDistance(name, candidate);
        if (edits < fewest) {
            fewest = edits;
            nearest = candidate;
        }
    }
    return nearest;
}

std::string inQuotes(std::string_view text)
{
    constexpr std::size_t longestShown = 80;
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char deleteCharacter = 0x7f;
    std::string shown(text.substr(0, longestShown));
    for (char &c : shown) {
        const auto byte = static_cast<unsigned char>(c);
        if (byte < firstPrintable || byte == deleteCharacter) {
            c = '?';
        }
    }
    return "'" + shown + (text.size() > longestShown ? "...'" : "'");
}

} // namespace Sequoiausher
