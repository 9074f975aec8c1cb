#include "sequoiausher/protocol/gateway/targetstext.h"

#include "sequoiausher/base/ini/inidocument.h"
#include "sequoiausher/base/ini/inireader.h"

namespace Sequoiausher {

namespace {

constexpr std::int64_t mostSlots = 1000000;

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
    section.finish();
    return target;
}

} // namespace

std::string toText(const std::vector<GatewayTarget> &targets)
{
    std::string text;
    std::size_t number = 0;
    for (const GatewayTarget &target : targets) {
        number += 1;
        // Ids are the platform's, and need not be names as sections have them.
        text += "[target " + std::to_string(number) + "]\nid = " + target.id.value;
        text += "\nservice = " + target.service.value + "\naddress = " + target.address;
        if (!target.dataCentre.empty()) {
            text += "\ndata_centre = " + target.dataCentre.value;
        }
        text += "\nslots = " + std::to_string(target.slots) + "\nleaving = " + (target.isLeaving ? "1" : "0") + "\n";
    }
    return text;
}

std::vector<GatewayTarget> parseTargetsText(const std::string &text, const std::string &from)
{
    Problems problems;
    const IniDocument document = parseIni(text, from, problems);
    IniReader reader(document, problems);
    std::vector<GatewayTarget> targets;
    for (SectionReader &section : reader.sectionsOf("target")) {
        targets.push_back(readTarget(section));
    }
    reader.finish();
    throwOnErrors(Step::Decode, from, problems);
    return targets;
}

} // namespace Sequoiausher
