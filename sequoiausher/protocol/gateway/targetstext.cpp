#include "sequoiausher/protocol/gateway/targetstext.h"

#include "sequoiausher/base/ini/inidocument.h"
#include "sequoiausher/base/ini/inireader.h"

#include <algorithm>
#include <limits>

namespace Sequoiausher {

namespace {

constexpr std::int64_t mostSlots = 1000000;
/** The largest list, some 100,000 targets: one that a gateway has and its peers refuse keeps them from learning more.
 */
constexpr std::size_t maximumBytes = 16UL * 1024 * 1024;
constexpr std::int64_t latestBirth = std::numeric_limits<std::int64_t>::max();
constexpr std::int64_t mostRevision = std::numeric_limits<std::int64_t>::max();

bool isName(const std::string &name)
{
    constexpr char deleteCharacter = 0x7f;
    const auto isControl = [](char c) { return static_cast<unsigned char>(c) < ' ' || c == deleteCharacter; };
    const bool isBlankAtEnd = !name.empty() && (name.front() == ' ' || name.back() == ' ');
    return !isBlankAtEnd && std::none_of(name.begin(), name.end(), isControl);
}

bool isReadable(const GatewayTarget &target)
{
    try {
        checkTarget(target, target.id.value);
    } catch (const Error &) {
        return false;
    }
    return true;
}

GatewayTarget readTarget(SectionReader &section)
{
    GatewayTarget target;
    section.require("id", "the target's id");
    target.id.value = section.text("id").value_or("");
    target.service.value = section.text("service").value_or("");
    target.address = section.address("address").value_or("");
    target.dataCentre.value = section.text("data_centre").value_or("");
    target.slots = static_cast<std::uint32_t>(section.integer("slots", {0, mostSlots, "requests"}).value_or(1));
    target.isLeaving = section.integer("leaving", {0, 1, ""}).value_or(0) != 0;
    target.softwareVersion = section.text("version").value_or("");
    target.bornAt = Millis{section.integer("born_ms", {0, latestBirth, "ms"}).value_or(0)};
    if (!target.id.value.ends_with(incarnationId({}, target.bornAt).value)) {
        throw Error(Step::Decode, target.id.value, "the id is not of the life that began at born_ms");
    }
    section.finish();
    return target;
}

/** Between which revisions the changes lie. */
void readSpan(IniReader &reader, TargetChanges &changes, const std::string &from)
{
    std::optional<SectionReader> span = reader.section("changes");
    if (!span) {
        throw Error(Step::Decode, from, "changes of targets without a section [changes]");
    }
    span->require("from", "a revision");
    span->require("to", "a revision");
    const IntegerRange range{0, mostRevision, "a revision"};
    changes.from = static_cast<Revision>(span->integer("from", range).value_or(0));
    changes.to = static_cast<Revision>(span->integer("to", range).value_or(0));
    span->finish();
}

std::vector<GatewayTarget> readTargets(IniReader &reader)
{
    std::vector<GatewayTarget> targets;
    for (SectionReader &section : reader.sectionsOf("target")) {
        targets.push_back(readTarget(section));
    }
    return targets;
}

} // namespace

void checkTarget(const GatewayTarget &target, const std::string &from)
{
    if (target.id.empty() || target.service.empty()) {
        throw Error(Step::Decode, from, "a target without an id or a service");
    }
    if (!isAddressAndPort(target.address)) {
        throw Error(Step::Decode, from, "address: expected an address and a port, not " + target.address);
    }
    if (!isName(target.id.value) || !isName(target.service.value) || !isName(target.dataCentre.value)
        || !isName(target.softwareVersion)) {
        throw Error(Step::Decode, from, "a name with control characters or blanks at its ends");
    }
    if (target.slots > mostSlots || target.bornAt < Millis{0}) {
        throw Error(Step::Decode, from, "more slots than any target has, or a start before all times");
    }
}

std::string toText(const std::vector<GatewayTarget> &targets, TargetsFormat format)
{
    std::string text;
    std::size_t number = 0;
    for (const GatewayTarget &target : targets) {
        if (!isReadable(target)) {
            continue;
        }
        number += 1;
        // Ids are the platform's, and need not be names as sections have them.
        text += "[target " + std::to_string(number) + "]\nid = " + target.id.value;
        text += "\nservice = " + target.service.value + "\naddress = " + target.address;
        if (!target.dataCentre.empty()) {
            text += "\ndata_centre = " + target.dataCentre.value;
        }
        text += "\nslots = " + std::to_string(target.slots) + "\nleaving = " + (target.isLeaving ? "1" : "0");
        if (target.bornAt != Millis{0}) {
            text += "\nborn_ms = " + std::to_string(target.bornAt.count);
        }
        if (format == TargetsFormat::Versioned && !target.softwareVersion.empty()) {
            text += "\nversion = " + target.softwareVersion;
        }
        text += "\n";
    }
    return text;
}

std::vector<GatewayTarget> parseTargetsText(const std::string &text, const std::string &from)
{
    Problems problems;
    const IniDocument document = parseIni(text, from, problems, maximumBytes);
    IniReader reader(document, problems);
    std::vector<GatewayTarget> targets = readTargets(reader);
    reader.finish();
    throwOnErrors(Step::Decode, from, problems);
    return targets;
}

std::string toText(const TargetChanges &changes, TargetsFormat format)
{
    std::string text
        = "[changes]\nfrom = " + std::to_string(changes.from) + "\nto = " + std::to_string(changes.to) + "\n";
    std::size_t number = 0;
    for (const TargetId &gone : changes.gone) {
        // No target was ever listed under such a name, and a peer could not read the text.
        if (gone.empty() || !isName(gone.value)) {
            continue;
        }
        number += 1;
        text += "[gone " + std::to_string(number) + "]\nid = " + gone.value + "\n";
    }
    return text + toText(changes.written, format);
}

TargetChanges parseTargetChanges(const std::string &text, const std::string &from)
{
    Problems problems;
    const IniDocument document = parseIni(text, from, problems, maximumBytes);
    IniReader reader(document, problems);
    TargetChanges changes;
    readSpan(reader, changes, from);
    for (SectionReader &section : reader.sectionsOf("gone")) {
        section.require("id", "the target's id");
        changes.gone.push_back(TargetId{section.text("id").value_or("")});
        section.finish();
    }
    changes.written = readTargets(reader);
    reader.finish();
    throwOnErrors(Step::Decode, from, problems);
    return changes;
}

} // namespace Sequoiausher
