#include "sequoiausher/protocol/settings/instancesdocument.h"

#include "sequoiausher/base/ini/inidocument.h"
#include "sequoiausher/base/ini/inireader.h"

#include <limits>
#include <unordered_set>

namespace Sequoiausher {

namespace {

InstanceDescription readInstance(SectionReader &section)
{
    section.require("address", "IP number and port for callers");
    section.require("peer_address", "IP number and port for other routers");
    section.require("data_centre", "the data centre's name");
    InstanceDescription instance;
    instance.instance.value = nameOfSection(section.section());
    instance.address = section.address("address").value_or("");
    instance.peerAddress = section.address("peer_address").value_or("");
    instance.operatorsAddress = section.address("operators_address").value_or("");
    instance.dataCentre.value = section.plainName("data_centre").value_or("");
    instance.state = section.name<LifeState>("state").value_or(instance.state);
    constexpr std::int64_t anyIncarnation = std::numeric_limits<std::int64_t>::max();
    if (const auto incarnation = section.integer("first_start", {1, anyIncarnation, "incarnation"})) {
        instance.firstStart = static_cast<Incarnation>(*incarnation);
    }
    section.finish();
    return instance;
}

} // namespace

std::vector<InstanceDescription> parseInstances(std::string_view body, const std::string &file, Problems &problems)
{
    const IniDocument document = parseIni(body, file, problems);
    IniReader reader(document, problems);
    std::vector<InstanceDescription> instances;
    std::unordered_set<std::string> peerAddresses;
    for (SectionReader &section : reader.sectionsOf("instance")) {
        InstanceDescription instance = readInstance(section);
        // Two names at one listener: messages for one would reach the other, and claims be counted twice.
        if (!instance.peerAddress.empty() && !peerAddresses.insert(instance.peerAddress).second) {
            section.report(*section.entry("peer_address"), "an address that no other instance has");
        }
        instances.push_back(std::move(instance));
    }
    reader.finish();
    return instances;
}

} // namespace Sequoiausher
