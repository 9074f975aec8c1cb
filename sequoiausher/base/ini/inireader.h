#pragma once

// Typed reading of an INI document. A reader records which sections and keys were requested. All others are reported as
// unknown at the end, with the most similar requested name. Each invalid value is reported as a problem with its
// position; the getter then returns std::nullopt, so the default of the aggregate is kept.
//
//     Problems problems;
//     const IniDocument document = parseIni(text, "router.ini", problems);
//     IniReader reader(document, problems);
//     if (auto router = reader.requiredSection("router")) {
//         settings.workers = router->integer("workers", {1, 64, "threads"}).value_or(settings.workers);
//         router->finish();
//     }
//     reader.finish();

#include "sequoiausher/base/ini/inidocument.h"
#include "sequoiausher/base/ini/problem.h"
#include "sequoiausher/base/millis.h"
#include "sequoiausher/base/nametable.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Sequoiausher {

/** The valid range of an integer and its unit. */
struct IntegerRange
{
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
    std::string_view unit;
};

/** Parses a decimal number within the range; std::nullopt for any other text. */
std::optional<std::int64_t> parseInteger(std::string_view text, const IntegerRange &range);

/**
 * The parts of the text between commas, without surrounding whitespace. Empty parts are kept, so that the caller can
 * reject them.
 */
std::vector<std::string> splitList(std::string_view text);

/** An IPv4 or bracketed IPv6 address with a port from 1 to 65535, as in 10.1.2.3:8080 or [::1]:8080. */
bool isAddressAndPort(std::string_view text);

/** Whether the text is a valid name: 1 to 64 letters, digits, '.', '_' or '-'. */
bool isPlainName(std::string_view text);

/** Reads the keys of one section. The document and the problems must outlive it. */
class SectionReader
{
public:
    SectionReader(const IniDocument &document, const IniSection &section, Problems &problems);
    ~SectionReader();
    SectionReader(SectionReader &&) noexcept;
    SectionReader &operator=(SectionReader &&) noexcept;

    const IniSection &section() const;

    /** The entry, marked as known; nullptr if the section does not contain it. */
    const IniEntry *entry(std::string_view key);

    /** Each getter returns std::nullopt if the key is missing or its value is invalid; an invalid value is reported. */
    std::optional<std::string> text(std::string_view key);
    /** A name that fulfils isPlainName(). */
    std::optional<std::string> plainName(std::string_view key);
    std::optional<std::string> address(std::string_view key);
    std::optional<std::int64_t> integer(std::string_view key, const IntegerRange &range);
    /** A duration in whole milliseconds within the range, whose unit is ignored. */
    std::optional<Millis> duration(std::string_view key, const IntegerRange &range);
    /** A comma-separated list without empty parts. */
    std::optional<std::vector<std::string>> list(std::string_view key);
    /** A comma-separated list of addresses that fulfil isAddressAndPort(). */
    std::optional<std::vector<std::string>> addresses(std::string_view key);

    /** An enumeration value by its table of names. */
    template<typename Enum>
    std::optional<Enum> name(std::string_view key)
    {
        const IniEntry *found = this->entry(key);
        if (found == nullptr) {
            return std::nullopt;
        }
        const std::optional<Enum> value = parseName<Enum>(found->value);
        if (!value) {
            std::vector<std::string> names;
            for (const auto &row : nameTable<Enum>) {
                names.emplace_back(row.name);
            }
            this->reportUnknownName(*found, names);
        }
        return value;
    }

    /** Reports the key if it is missing or its value is empty. */
    void require(std::string_view key, std::string_view expected);

    /** Adds a problem with the position of the entry. */
    void report(const IniEntry &entry, const std::string &expected);
    void reportUnknownName(const IniEntry &entry, const std::vector<std::string> &known);
    /** Adds a problem with the position of the section. */
    void report(const std::string &found, const std::string &expected);

    /** Reports every key that was not requested. */
    void finish();
    /** Every requested key, in the order of the requests. */
    const std::vector<std::string> &knownKeys() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

/** Reads the sections of a document. The document and the problems must outlive it. */
class IniReader
{
public:
    IniReader(const IniDocument &document, Problems &problems);
    ~IniReader();

    /** The section with this name, if there is one. */
    std::optional<SectionReader> section(std::string_view name);
    /** As section(), but a missing section is reported. */
    std::optional<SectionReader> requiredSection(std::string_view name);
    /**
     * Every section `[kind NAME]` in order. A NAME that does not fulfil isPlainName() is reported and its section left
     * out.
     * @return the readers; SectionReader::section().name contains the kind, see nameOfSection().
     */
    std::vector<SectionReader> sectionsOf(std::string_view kind);
    /** Reports every section that was not requested. */
    void finish();

private:
    class Private;
    std::unique_ptr<Private> d;
};

/** Reads a section into settings if it exists, and reports its keys that `read` did not request. */
template<typename Settings>
void readOptionalSection(IniReader &reader,
                         std::string_view name,
                         void (*read)(SectionReader &, Settings &),
                         Settings &settings)
{
    if (auto section = reader.section(name)) {
        read(*section, settings);
        section->finish();
    }
}

/** The NAME of a section `[kind NAME]`; empty if the section has no second word. */
std::string nameOfSection(const IniSection &section);

} // namespace Sequoiausher
