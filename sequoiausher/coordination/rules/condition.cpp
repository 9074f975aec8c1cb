#include "sequoiausher/coordination/rules/condition.h"

#include "sequoiausher/base/hashing.h"

#include <algorithm>
#include <array>
#include <limits>
#include <optional>
#include <utility>

namespace Sequoiausher {

namespace {

/** The largest number that a condition may contain. */
constexpr std::int64_t maxNumber = 1000000000000;
constexpr std::int64_t minutesPerHour = 60;
constexpr std::int64_t minutesPerDay = 24 * minutesPerHour;
constexpr std::int64_t msPerMinute = 60000;
constexpr std::size_t maxAlternativesPerKey = 256;

constexpr std::string_view whenPrefix = "when.";
constexpr std::string_view headerPrefix = "when.header.";
constexpr std::string_view poolPrefix = "when.pool.";

constexpr std::array textKinds{
    ConditionKind::Organisation,
    ConditionKind::Class,
    ConditionKind::Model,
    ConditionKind::Path,
    ConditionKind::Method,
};
constexpr std::array numberKinds{
    ConditionKind::ChatShare,
    ConditionKind::PromptBytes,
    ConditionKind::PromptTokens,
    ConditionKind::TimeOfDay,
    ConditionKind::Gateways,
};
constexpr std::array poolKinds{
    ConditionKind::PoolTargets,
    ConditionKind::PoolInFlight,
    ConditionKind::PoolInFlightPerTarget,
};

std::string lowerCase(std::string text)
{
    for (char &c : text) {
        if (c >= 'A' && c <= 'Z') {
            c = static_cast<char>(c - 'A' + 'a');
        }
    }
    return text;
}

bool isText(ConditionKind kind)
{
    return kind == ConditionKind::Header || std::find(textKinds.begin(), textKinds.end(), kind) != textKinds.end();
}

NumberRange fullRange(ConditionKind kind)
{
    if (kind == ConditionKind::ChatShare) {
        return {0, static_cast<std::int64_t>(chatShareCount) - 1};
    }
    if (kind == ConditionKind::TimeOfDay) {
        return {0, minutesPerDay - 1};
    }
    return {0, maxNumber};
}

std::optional<NumberRange> parseRange(std::string_view text, const NumberRange &bounds)
{
    const auto number = [&bounds](std::string_view digits) {
        const std::size_t first = std::min(digits.find_first_not_of(' '), digits.size());
        return parseInteger(digits.substr(first), {bounds.first, bounds.last, ""});
    };
    const auto range = [&bounds](std::optional<std::int64_t> first, std::optional<std::int64_t> last) {
        const bool good = first && last && *first <= *last && *first >= bounds.first && *last <= bounds.last;
        return good ? std::optional(NumberRange{*first, *last}) : std::nullopt;
    };
    const auto plus = [](std::optional<std::int64_t> value, std::int64_t step) {
        return value ? std::optional(*value + step) : std::nullopt;
    };
    if (text.starts_with("<=")) {
        return range(bounds.first, number(text.substr(2)));
    }
    if (text.starts_with(">=")) {
        return range(number(text.substr(2)), bounds.last);
    }
    if (text.starts_with("<")) {
        return range(bounds.first, plus(number(text.substr(1)), -1));
    }
    if (text.starts_with(">")) {
        return range(plus(number(text.substr(1)), 1), bounds.last);
    }
    const std::size_t dash = text.find('-');
    if (dash == std::string_view::npos) {
        return range(number(text), number(text));
    }
    return range(number(text.substr(0, dash)), number(text.substr(dash + 1)));
}

/** Parses HH:MM and returns the minutes since midnight; 24:00 is the end of the day. */
std::optional<std::int64_t> parseTime(std::string_view text)
{
    constexpr std::size_t length = 5;
    constexpr std::size_t colon = 2;
    if (text.size() != length || text[colon] != ':') {
        return std::nullopt;
    }
    const auto hour = parseInteger(text.substr(0, colon), {0, 24, ""});
    const auto minute = parseInteger(text.substr(colon + 1), {0, minutesPerHour - 1, ""});
    if (!hour || !minute || *hour * minutesPerHour + *minute > minutesPerDay) {
        return std::nullopt;
    }
    return *hour * minutesPerHour + *minute;
}

/** Parses HH:MM-HH:MM. The end is exclusive and may be on the next day. Returns no ranges if text is invalid. */
std::vector<NumberRange> parseTimeRanges(std::string_view text)
{
    const std::size_t dash = text.find('-');
    if (dash == std::string_view::npos) {
        return {};
    }
    const auto first = parseTime(text.substr(0, dash));
    const auto end = parseTime(text.substr(dash + 1));
    if (!first || !end || *first == *end || *first == minutesPerDay) {
        return {};
    }
    if (*first < *end) {
        return {{*first, *end - 1}};
    }
    std::vector<NumberRange> ranges{{*first, minutesPerDay - 1}};
    if (*end > 0) {
        ranges.push_back({0, *end - 1});
    }
    return ranges;
}

/** Sorts the ranges, and joins those that overlap or touch. */
std::vector<NumberRange> normaliseRanges(std::vector<NumberRange> ranges)
{
    std::sort(ranges.begin(), ranges.end(), [](const NumberRange &one, const NumberRange &other) {
        return one.first < other.first;
    });
    std::vector<NumberRange> joined;
    for (const NumberRange &range : ranges) {
        if (!joined.empty() && range.first <= joined.back().last + 1) {
            joined.back().last = std::max(joined.back().last, range.last);
        } else {
            joined.push_back(range);
        }
    }
    return joined;
}

std::string expectedNumbers(ConditionKind kind)
{
    if (kind == ConditionKind::TimeOfDay) {
        return "HH:MM-HH:MM in UTC, or several, comma separated";
    }
    const NumberRange bounds = fullRange(kind);
    return "N, N-M, <N, <=N, >N or >=N of whole numbers from " + std::to_string(bounds.first) + " to "
        + std::to_string(bounds.last) + ", or several, comma separated";
}

/** Reports too many alternatives, or an empty one. Returns whether there is no such problem. */
bool checkAlternatives(SectionReader &section, const IniEntry &entry, const std::vector<std::string> &parts)
{
    if (parts.size() > maxAlternativesPerKey) {
        section.report(entry, "at most " + std::to_string(maxAlternativesPerKey) + " alternatives");
        return false;
    }
    if (std::any_of(parts.begin(), parts.end(), [](const std::string &part) { return part.empty(); })) {
        section.report(entry, "a value, or several, comma separated");
        return false;
    }
    return true;
}

void checkPatterns(SectionReader &section, const IniEntry &entry, const Condition &condition)
{
    std::vector<std::string> known;
    if (condition.kind == ConditionKind::Class) {
        for (const auto &row : nameTable<RequestClass>) {
            known.emplace_back(row.name);
        }
    } else if (condition.kind == ConditionKind::Method) {
        known = {"GET", "POST", "PUT", "PATCH", "DELETE", "HEAD", "OPTIONS"};
    }
    for (const std::string &pattern : condition.patterns) {
        if (!known.empty() && std::find(known.begin(), known.end(), pattern) == known.end()) {
            section.reportUnknownName(entry, known);
            return;
        }
        if (condition.kind == ConditionKind::Path && pattern.front() != '/' && pattern != "*") {
            section.report(entry, "paths that start with '/'");
            return;
        }
        if (pattern.find('*') < pattern.size() - 1) {
            section.report(entry, "'*' at the end of a value only");
            return;
        }
    }
}

void readCondition(SectionReader &section,
                   const IniEntry &entry,
                   Condition condition,
                   std::vector<Condition> &conditions)
{
    condition.key = entry.key;
    condition.writtenValue = entry.value;
    const std::vector<std::string> parts = splitList(entry.value);
    if (!checkAlternatives(section, entry, parts)) {
        return;
    }
    if (isText(condition.kind)) {
        condition.patterns = parts;
        checkPatterns(section, entry, condition);
        conditions.push_back(std::move(condition));
        return;
    }
    for (const std::string &part : parts) {
        std::vector<NumberRange> ranges;
        if (condition.kind == ConditionKind::TimeOfDay) {
            ranges = parseTimeRanges(part);
        } else if (const auto range = parseRange(part, fullRange(condition.kind))) {
            ranges.push_back(*range);
        }
        if (ranges.empty()) {
            section.report(entry, expectedNumbers(condition.kind));
            return;
        }
        condition.ranges.insert(condition.ranges.end(), ranges.begin(), ranges.end());
    }
    condition.ranges = normaliseRanges(std::move(condition.ranges));
    conditions.push_back(std::move(condition));
}

void readHeaderCondition(SectionReader &section, const IniEntry &entry, std::vector<Condition> &conditions)
{
    Condition condition;
    condition.kind = ConditionKind::Header;
    condition.qualifier = lowerCase(entry.key.substr(headerPrefix.size()));
    section.entry(entry.key);
    if (!isPlainName(condition.qualifier)) {
        section.report(entry, "when.header.NAME with a header's name");
        return;
    }
    readCondition(section, entry, std::move(condition), conditions);
}

void readPoolCondition(SectionReader &section, const IniEntry &entry, std::vector<Condition> &conditions)
{
    section.entry(entry.key);
    const std::size_t dot = entry.key.rfind('.');
    for (const ConditionKind kind : poolKinds) {
        if (dot <= poolPrefix.size() || entry.key.substr(dot + 1) != nameOf(kind)) {
            continue;
        }
        Condition condition;
        condition.kind = kind;
        condition.qualifier = entry.key.substr(poolPrefix.size(), dot - poolPrefix.size());
        readCondition(section, entry, std::move(condition), conditions);
        return;
    }
    section.report(entry, "when.pool.POOL.targets, when.pool.POOL.in_flight or when.pool.POOL.in_flight_per_target");
}

/** Returns the text that the condition tests, or nullptr if the request has none. Not for the request's class. */
const std::string *findFactText(const Condition &condition, const RequestFacts &facts)
{
    switch (condition.kind) {
    case ConditionKind::Organisation:
        return &facts.organisation.value;
    case ConditionKind::Model:
        return &facts.model;
    case ConditionKind::Path:
        return &facts.path;
    case ConditionKind::Method:
        return &facts.method;
    case ConditionKind::Header:
        for (const RequestHeader &header : facts.headers) {
            if (header.name == condition.qualifier) {
                return &header.value;
            }
        }
        return nullptr;
    default:
        return nullptr;
    }
}

PoolState poolOf(const Condition &condition, const RequestFacts &facts)
{
    if (facts.pools) {
        for (const PoolState &state : *facts.pools) {
            if (state.pool.value == condition.qualifier) {
                return state;
            }
        }
    }
    return {};
}

std::int64_t numberOf(const Condition &condition, const RequestFacts &facts)
{
    switch (condition.kind) {
    case ConditionKind::ChatShare:
        return static_cast<std::int64_t>(chatShareOf(facts.chatHash, condition.qualifier));
    case ConditionKind::PromptBytes:
        return static_cast<std::int64_t>(facts.promptBytes);
    case ConditionKind::PromptTokens:
        return static_cast<std::int64_t>(estimatedTokens(facts.promptBytes));
    case ConditionKind::TimeOfDay:
        return facts.wallTime.count / msPerMinute % minutesPerDay;
    case ConditionKind::Gateways:
        return facts.gateways;
    case ConditionKind::PoolTargets:
        return poolOf(condition, facts).targets;
    case ConditionKind::PoolInFlight:
        return static_cast<std::int64_t>(poolOf(condition, facts).inFlight);
    case ConditionKind::PoolInFlightPerTarget: {
        const PoolState state = poolOf(condition, facts);
        return state.targets == 0 ? 0 : static_cast<std::int64_t>(state.inFlight / state.targets);
    }
    default:
        return 0;
    }
}

/** Returns the text that the condition tests, or std::nullopt if the request has none. */
std::optional<std::string_view> findConditionText(const Condition &condition, const RequestFacts &facts)
{
    if (condition.kind == ConditionKind::Class) {
        return nameOf(facts.requestClass);
    }
    const std::string *text = findFactText(condition, facts);
    return text == nullptr ? std::nullopt : std::optional<std::string_view>(*text);
}

bool matchesPattern(std::string_view pattern, std::string_view text)
{
    if (pattern.ends_with('*')) {
        return text.starts_with(pattern.substr(0, pattern.size() - 1));
    }
    return text == pattern;
}

bool coversPattern(std::string_view wide, std::string_view narrow)
{
    if (narrow.ends_with('*') && !wide.ends_with('*')) {
        return false;
    }
    return matchesPattern(wide, narrow.ends_with('*') ? narrow.substr(0, narrow.size() - 1) : narrow);
}

} // namespace

std::uint64_t chatShareOf(std::uint64_t chatHash, std::string_view salt)
{
    return rendezvousWeight(hash64(salt), chatHash) % chatShareCount;
}

std::uint64_t estimatedTokens(std::uint64_t promptBytes)
{
    constexpr std::uint64_t bytesPerToken = 4;
    return promptBytes / bytesPerToken;
}

std::vector<Condition> parseConditions(SectionReader &section, const std::string &salt)
{
    std::vector<Condition> conditions;
    const std::string ownSalt = section.plainName("when.chat_salt").value_or(salt);
    const auto read = [&](ConditionKind kind) {
        const std::string key = std::string(whenPrefix) + std::string(nameOf(kind));
        if (const IniEntry *entry = section.entry(key)) {
            Condition condition;
            condition.kind = kind;
            condition.qualifier = kind == ConditionKind::ChatShare ? ownSalt : "";
            readCondition(section, *entry, std::move(condition), conditions);
        }
    };
    std::for_each(textKinds.begin(), textKinds.end(), read);
    std::for_each(numberKinds.begin(), numberKinds.end(), read);
    for (const IniEntry &entry : section.section().entries) {
        if (entry.key.starts_with(headerPrefix)) {
            readHeaderCondition(section, entry, conditions);
        } else if (entry.key.starts_with(poolPrefix)) {
            readPoolCondition(section, entry, conditions);
        }
    }
    return conditions;
}

bool holds(const Condition &condition, const RequestFacts &facts)
{
    if (isText(condition.kind)) {
        const std::optional<std::string_view> text = findConditionText(condition, facts);
        return text
            && std::any_of(condition.patterns.begin(), condition.patterns.end(), [&](const std::string &pattern) {
                   return matchesPattern(pattern, *text);
               });
    }
    const std::int64_t number = numberOf(condition, facts);
    return std::any_of(condition.ranges.begin(), condition.ranges.end(), [&](const NumberRange &range) {
        return number >= range.first && number <= range.last;
    });
}

std::string describeFact(const Condition &condition, const RequestFacts &facts)
{
    if (isText(condition.kind)) {
        const std::optional<std::string_view> text = findConditionText(condition, facts);
        return text ? inQuotes(*text) : "none";
    }
    const std::int64_t number = numberOf(condition, facts);
    if (condition.kind != ConditionKind::TimeOfDay) {
        return std::to_string(number);
    }
    const auto twoDigits = [](std::int64_t value) { return (value < 10 ? "0" : "") + std::to_string(value); };
    return twoDigits(number / minutesPerHour) + ":" + twoDigits(number % minutesPerHour);
}

bool alwaysHolds(const Condition &condition)
{
    if (condition.kind == ConditionKind::Header) {
        return false;
    }
    if (isText(condition.kind)) {
        return std::find(condition.patterns.begin(), condition.patterns.end(), "*") != condition.patterns.end();
    }
    return condition.ranges == std::vector<NumberRange>{fullRange(condition.kind)};
}

bool covers(const Condition &wide, const Condition &narrow)
{
    if (wide.kind != narrow.kind || wide.qualifier != narrow.qualifier) {
        return false;
    }
    const bool patterns = std::all_of(narrow.patterns.begin(), narrow.patterns.end(), [&](const std::string &one) {
        return std::any_of(wide.patterns.begin(), wide.patterns.end(), [&](const std::string &pattern) {
            return coversPattern(pattern, one);
        });
    });
    const bool ranges = std::all_of(narrow.ranges.begin(), narrow.ranges.end(), [&](const NumberRange &one) {
        return std::any_of(wide.ranges.begin(), wide.ranges.end(), [&](const NumberRange &range) {
            return range.first <= one.first && one.last <= range.last;
        });
    });
    return patterns && ranges;
}

} // namespace Sequoiausher
