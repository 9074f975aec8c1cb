#pragma once

// Typed reading of an INI document. A reader remembers which sections and keys were asked for: what is left over at the
// end is unknown, and is reported with the nearest name that was asked for. Each wrong value becomes a problem with its
// place; the getter then returns std::nullopt, so the default of the aggregate that is being filled stays.
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

/** The whole numbers that a key takes, and what they count. */
struct IntegerRange
{
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
    std::string_view unit;
};

/** A number in digits within range, with nothing around it; std::nullopt otherwise. */
std::optional<std::int64_t> parseInteger(std::string_view text, const IntegerRange &range);

/** The parts of text between commas, without the space around them. Empty parts stay, for the caller to refuse. */
std::vector<std::string> splitList(std::string_view text);

/** An IPv4 or bracketed IPv6 address with a port from 1 to 65535, as in 10.1.2.3:8080 or [::1]:8080. */
bool isAddressAndPort(std::string_view text);

/** Whether text serves as a name: 1 to 64 letters, digits, '.', '_' or '-'. */
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

    /** The entry itself, marked as known; nullptr where the section has none. */
    const IniEntry *entry(std::string_view key);

    /** Each getter: std::nullopt where the key is missing, or its value is wrong, which is reported. */
    std::optional<std::string> text(std::string_view key);
    /** As isPlainName() has it. */
    std::optional<std::string> plainName(std::string_view key);
    std::optional<std::string> address(std::string_view key);
    std::optional<std::int64_t> integer(std::string_view key, const IntegerRange &range);
    /** A span in whole milliseconds within the range; the range's unit is not used. */
    std::optional<Millis> duration(std::string_view key, const IntegerRange &range);
    /** Comma separated, no empty part. */
    std::optional<std::vector<std::string>> list(std::string_view key);
    /** Comma separated addresses, as isAddressAndPort() has them. */
    std::optional<std::vector<std::string>> addresses(std::string_view key);

    /** A value by its table of names. */
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

    /** Reports key where the section lacks it or its value is empty. */
    void require(std::string_view key, std::string_view expected);

    /** Adds a problem with the place of entry. */
    void report(const IniEntry &entry, const std::string &expected);
    void reportUnknownName(const IniEntry &entry, const std::vector<std::string> &known);
    /** Adds a problem with the place of the section. */
    void report(const std::string &found, const std::string &expected);

    /** Reports every key that was never asked for. */
    void finish();
    /** Every key that was asked for, in the order of asking. */
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

    /** The section of that name; std::nullopt where there is none. */
    std::optional<SectionReader> section(std::string_view name);
    /** The same, reported where it is missing. */
    std::optional<SectionReader> requiredSection(std::string_view name);
    /**
     * Every section `[kind NAME]` in order. A NAME that is not a plain name is reported, and its section left out.
     * @return the readers; SectionReader::section().name still holds the kind: see nameOfSection().
     */
    std::vector<SectionReader> sectionsOf(std::string_view kind);
    /** Reports every section that was never asked for. */
    void finish();

private:
    class Private;
    std::unique_ptr<Private> d;
};

/** Reads a section into settings where there is one, and reports what of it read did not ask for. */
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

/** NAME of a section `[kind NAME]`; empty where the section has no second word. */
std::string nameOfSection(const IniSection &section);

} // namespace Sequoiausher
