#include "sequoiausher/protocol/settings/pooldocument.h"

#include "sequoiausher/base/ini/inidocument.h"
#include "sequoiausher/base/ini/inireader.h"

#include <limits>
#include <unordered_set>

namespace Sequoiausher {

namespace {

void readPool(SectionReader &section, PoolDescription &pool)
{
    section.require("kind", "engine or service");
    pool.kind = section.name<PoolKind>("kind").value_or(pool.kind);
    if (pool.kind == PoolKind::Engine) {
        section.require("model", "the model that the engines serve");
    }
    pool.model = section.plainName("model").value_or("");
    if (pool.kind == PoolKind::Service && section.entry("model") != nullptr) {
        section.report(*section.entry("model"), "no model, since the pool's kind is service");
    }
    section.finish();
}

TargetDescription readTarget(SectionReader &section)
{
    section.require("address", "the target's IP number and port");
    section.require("data_centre", "the data centre's name");
    TargetDescription target;
    target.target.value = nameOfSection(section.section());
    target.address = section.address("address").value_or("");
    target.dataCentre.value = section.plainName("data_centre").value_or("");
    target.life.state = section.name<LifeState>("state").value_or(LifeState::Live);
    const std::int64_t incarnation
        = section.integer("incarnation", {0, std::numeric_limits<std::int64_t>::max(), ""}).value_or(0);
    target.life.incarnation = static_cast<Incarnation>(incarnation);
    if (const auto capacity = section.integer("capacity", {1, 1000000, "requests at a time"})) {
        target.capacity = static_cast<std::uint32_t>(*capacity);
    }
    section.finish();
    return target;
}

} // namespace

PoolDescription parsePool(std::string_view body, const PoolId &pool, const std::string &file, Problems &problems)
{
    const IniDocument document = parseIni(body, file, problems);
    IniReader reader(document, problems);
    PoolDescription description;
    description.pool = pool;
    if (auto section = reader.requiredSection("pool")) {
        readPool(*section, description);
    }
    std::unordered_set<std::string> addresses;
    for (SectionReader &section : reader.sectionsOf("target")) {
        TargetDescription target = readTarget(section);
        // Two names at one address would let one engine take twice its bound.
        if (!target.address.empty() && !addresses.insert(target.address).second) {
            section.report(*section.entry("address"), "an address that no other target of the pool has");
        }
        description.targets.push_back(std::move(target));
    }
    reader.finish();
    return description;
}

} // namespace Sequoiausher
