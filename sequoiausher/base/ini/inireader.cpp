#include "sequoiausher/base/ini/inireader.h"

#include <algorithm>
#include <charconv>
#include <unordered_set>
#include <utility>

namespace Sequoiausher {

namespace {

constexpr IntegerRange portRange{1, 65535, "port"};

bool isIpv4(std::string_view text)
{
    constexpr IntegerRange byteRange{0, 255, ""};
    constexpr int bytes = 4;
    int read = 0;
    while (true) {
        const std::size_t dot = text.find('.');
        if (!parseInteger(text.substr(0, dot), byteRange)) {
            return false;
        }
        ++read;
        if (dot == std::string_view::npos) {
            return read == bytes;
        }
        text.remove_prefix(dot + 1);
    }
}

bool isIpv6(std::string_view text)
{
    constexpr std::string_view allowed = "0123456789abcdefABCDEF:.";
    return text.find(':') != std::string_view::npos && text.find_first_not_of(allowed) == std::string_view::npos;
}

std::string joined(const std::vector<std::string> &names)
{
    std::string text;
    for (const std::string &name : names) {
        text += text.empty() ? "" : ", ";
        text += name;
    }
    return text;
}

std::string foundText(std::string_view value)
{
    return value.empty() ? "an empty value" : inQuotes(value);
}

/** Compares only the kinds: in `[rul default]` only the first word can be misspelt. */
std::string nearestSection(const std::string &name, const std::vector<std::string> &known)
{
    std::vector<std::string> kinds;
    for (const std::string &section : known) {
        kinds.push_back(section.substr(0, section.find(' ')));
    }
    return nearestName(name.substr(0, name.find(' ')), kinds);
}

} // namespace

std::optional<std::int64_t> parseInteger(std::string_view text, const IntegerRange &range)
{
    std::int64_t value = 0;
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    if (result.ec != std::errc{} || result.ptr != end || value < range.minimum || value > range.maximum) {
        return std::nullopt;
    }
    return value;
}

std::vector<std::string> splitList(std::string_view text)
{
    std::vector<std::string> parts;
    while (true) {
        const std::size_t comma = text.find(',');
        const std::string_view part = text.substr(0, comma);
        const std::size_t first = part.find_first_not_of(" \t");
        const std::size_t last = part.find_last_not_of(" \t");
        parts.emplace_back(first == std::string_view::npos ? "" : part.substr(first, last - first + 1));
        if (comma == std::string_view::npos) {
            return parts;
        }
        text.remove_prefix(comma + 1);
    }
}

bool isAddressAndPort(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || !parseInteger(text.substr(colon + 1), portRange)) {
        return false;
    }
    const std::string_view host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        return isIpv6(host.substr(1, host.size() - 2));
    }
    return isIpv4(host);
}

bool isPlainName(std::string_view text)
{
    constexpr std::size_t longestName = 64;
    constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
    return !text.empty() && text.size() <= longestName && text.find_first_not_of(allowed) == std::string_view::npos;
}

std::string nameOfSection(const IniSection &section)
{
    const std::size_t blank = section.name.find(' ');
    return blank == std::string::npos ? std::string{} : section.name.substr(blank + 1);
}

class SectionReader::Private
{
public:
    const IniDocument &document;
    const IniSection &section;
    Problems &problems;
    std::vector<std::string> known;
};

SectionReader::SectionReader(const IniDocument &document, const IniSection &section, Problems &problems)
    : d(new Private{document, section, problems, {}})
{
}

SectionReader::~SectionReader() = default;
SectionReader::SectionReader(SectionReader &&) noexcept = default;
SectionReader &SectionReader::operator=(SectionReader &&) noexcept = default;

const IniSection &SectionReader::section() const
{
    return this->d->section;
}

const IniEntry *SectionReader::entry(std::string_view key)
{
    this->d->known.emplace_back(key);
    for (const IniEntry &entry : this->d->section.entries) {
        if (entry.key == key) {
            return &entry;
        }
    }
    return nullptr;
}

std::optional<std::string> SectionReader::text(std::string_view key)
{
    const IniEntry *found = this->entry(key);
    if (found == nullptr) {
        return std::nullopt;
    }
    if (found->value.empty()) {
        this->report(*found, "a text");
        return std::nullopt;
    }
    return found->value;
}

std::optional<std::string> SectionReader::plainName(std::string_view key)
{
    const IniEntry *found = this->entry(key);
    if (found == nullptr) {
        return std::nullopt;
    }
    if (!isPlainName(found->value)) {
        this->report(*found, "a name of 1 to 64 letters, digits, '.', '_' or '-'");
        return std::nullopt;
    }
    return found->value;
}

std::optional<std::string> SectionReader::address(std::string_view key)
{
    const IniEntry *found = this->entry(key);
    if (found == nullptr) {
        return std::nullopt;
    }
    if (!isAddressAndPort(found->value)) {
        this->report(*found, "an IP number and a port from 1 to 65535, as in 10.1.2.3:8080");
        return std::nullopt;
    }
    return found->value;
}

std::optional<std::int64_t> SectionReader::integer(std::string_view key, const IntegerRange &range)
{
    const IniEntry *found = this->entry(key);
    if (found == nullptr) {
        return std::nullopt;
    }
    const std::optional<std::int64_t> value = parseInteger(found->value, range);
    if (!value) {
        std::string expected
            = "a whole number from " + std::to_string(range.minimum) + " to " + std::to_string(range.maximum);
        if (!range.unit.empty()) {
            expected += " (" + std::string(range.unit) + ")";
        }
        this->report(*found, expected);
    }
    return value;
}

std::optional<Millis> SectionReader::duration(std::string_view key, const IntegerRange &range)
{
    const std::optional<std::int64_t> count = this->integer(key, {range.minimum, range.maximum, "ms"});
    return count ? std::optional<Millis>(Millis{*count}) : std::nullopt;
}

std::optional<std::vector<std::string>> SectionReader::list(std::string_view key)
{
    const IniEntry *found = this->entry(key);
    if (found == nullptr) {
        return std::nullopt;
    }
    std::vector<std::string> parts = splitList(found->value);
    if (std::any_of(parts.begin(), parts.end(), [](const std::string &part) { return part.empty(); })) {
        this->report(*found, "a comma separated list without empty parts");
        return std::nullopt;
    }
    return parts;
}

std::optional<std::vector<std::string>> SectionReader::addresses(std::string_view key)
{
    const IniEntry *found = this->entry(key);
    if (found == nullptr) {
        return std::nullopt;
    }
    std::vector<std::string> parts = splitList(found->value);
    if (!std::all_of(parts.begin(), parts.end(), [](const std::string &part) { return isAddressAndPort(part); })) {
        this->report(*found, "IP numbers with ports, comma separated, as in 10.1.2.3:8080, 10.1.2.4:8080");
        return std::nullopt;
    }
    return parts;
}

void SectionReader::require(std::string_view key, std::string_view expected)
{
    if (this->entry(key) == nullptr) {
        addProblem(this->d->problems,
                   {Severity::Error,
                    this->d->document.file,
                    this->d->section.line,
                    0,
                    this->d->section.name,
                    std::string(key),
                    "no such key",
                    std::string(expected),
                    ""});
    }
}

void SectionReader::report(const IniEntry &entry, const std::string &expected)
{
    addProblem(this->d->problems,
               {Severity::Error,
                this->d->document.file,
                entry.line,
                entry.column,
                this->d->section.name,
                entry.key,
                foundText(entry.value),
                expected,
                ""});
}

void SectionReader::reportUnknownName(const IniEntry &entry, const std::vector<std::string> &known)
{
    addProblem(this->d->problems,
               {Severity::Error,
                this->d->document.file,
                entry.line,
                entry.column,
                this->d->section.name,
                entry.key,
                foundText(entry.value),
                "one of " + joined(known),
                nearestName(entry.value, known)});
}

void SectionReader::report(const std::string &found, const std::string &expected)
{
    addProblem(this->d->problems,
               {Severity::Error,
                this->d->document.file,
                this->d->section.line,
                0,
                this->d->section.name,
                "",
                found,
                expected,
                ""});
}

void SectionReader::finish()
{
    // A linear search: a document may have a thousand sections with few keys each, for which a set costs more.
    const std::vector<std::string> &known = this->d->known;
    for (const IniEntry &entry : this->d->section.entries) {
        const bool isKnown = std::find(known.begin(), known.end(), entry.key) != known.end();
        if (isKnown || !hasRoom(this->d->problems, Severity::Error)) {
            continue;
        }
        addProblem(this->d->problems,
                   {Severity::Error,
                    this->d->document.file,
                    entry.line,
                    1,
                    this->d->section.name,
                    entry.key,
                    "an unknown key",
                    "one of the keys in docs/CONFIGURATION.md",
                    nearestName(entry.key, this->d->known)});
    }
}

const std::vector<std::string> &SectionReader::knownKeys() const
{
    return this->d->known;
}

class IniReader::Private
{
public:
    const IniDocument &document;
    Problems &problems;
    std::unordered_set<const IniSection *> asked;
    std::vector<std::string> known;
};

IniReader::IniReader(const IniDocument &document, Problems &problems) : d(new Private{document, problems, {}, {}})
{
}

IniReader::~IniReader() = default;

std::optional<SectionReader> IniReader::section(std::string_view name)
{
    this->d->known.emplace_back(name);
    for (const IniSection &section : this->d->document.sections) {
        if (section.name == name) {
            this->d->asked.insert(&section);
            return SectionReader(this->d->document, section, this->d->problems);
        }
    }
    return std::nullopt;
}

std::optional<SectionReader> IniReader::requiredSection(std::string_view name)
{
    std::optional<SectionReader> found = this->section(name);
    if (!found) {
        addProblem(this->d->problems,
                   {Severity::Error,
                    this->d->document.file,
                    0,
                    0,
                    std::string(name),
                    "",
                    "no such section",
                    "it in this file",
                    ""});
    }
    return found;
}

std::vector<SectionReader> IniReader::sectionsOf(std::string_view kind)
{
    const std::string prefix = std::string(kind) + " ";
    this->d->known.push_back(prefix + "NAME");
    std::vector<SectionReader> readers;
    for (const IniSection &section : this->d->document.sections) {
        if (section.name != kind && !section.name.starts_with(prefix)) {
            continue;
        }
        this->d->asked.insert(&section);
        SectionReader reader(this->d->document, section, this->d->problems);
        if (isPlainName(nameOfSection(section))) {
            readers.push_back(std::move(reader));
        } else {
            reader.report("the name " + inQuotes(nameOfSection(section)),
                          "[" + prefix + "NAME] with NAME of 1 to 64 letters, digits, '.', '_' or '-'");
        }
    }
    return readers;
}

void IniReader::finish()
{
    for (const IniSection &section : this->d->document.sections) {
        if (this->d->asked.contains(&section) || !hasRoom(this->d->problems, Severity::Error)) {
            continue;
        }
        addProblem(this->d->problems,
                   {Severity::Error,
                    this->d->document.file,
                    section.line,
                    1,
                    section.name,
                    "",
                    "an unknown section",
                    "one of [" + joined(this->d->known) + "]",
                    nearestSection(section.name, this->d->known)});
    }
}

} // namespace Sequoiausher
