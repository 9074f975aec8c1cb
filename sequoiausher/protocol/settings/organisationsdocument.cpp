#include "sequoiausher/protocol/settings/organisationsdocument.h"

#include "sequoiausher/base/ini/inidocument.h"
#include "sequoiausher/base/ini/inireader.h"

#include <unordered_set>

namespace Sequoiausher {

namespace {

bool isSha256(std::string_view text)
{
    constexpr std::size_t digits = 64;
    return text.size() == digits && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

} // namespace

std::vector<OrganisationDescription>
parseOrganisations(std::string_view body, const std::string &file, Problems &problems)
{
    const IniDocument document = parseIni(body, file, problems);
    IniReader reader(document, problems);
    std::vector<OrganisationDescription> organisations;
    std::unordered_set<std::string> digests;
    for (SectionReader &section : reader.sectionsOf("organisation")) {
        section.require("key_sha256", "the SHA-256 of the organisation's API key");
        OrganisationDescription organisation{OrganisationId{nameOfSection(section.section())}, ""};
        if (const IniEntry *entry = section.entry("key_sha256")) {
            organisation.keySha256 = entry->value;
            if (!isSha256(entry->value)) {
                section.report(*entry, "64 lower-case hexadecimal digits");
            } else if (!digests.insert(entry->value).second) {
                section.report(*entry, "a digest that no other organisation has");
            }
        }
        section.finish();
        organisations.push_back(std::move(organisation));
    }
    reader.finish();
    return organisations;
}

} // namespace Sequoiausher
