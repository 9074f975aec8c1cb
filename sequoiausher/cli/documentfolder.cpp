#include "sequoiausher/cli/documentfolder.h"

#include "sequoiausher/base/error.h"

#include <filesystem>
#include <fstream>
#include <sstream>

namespace Sequoiausher {

namespace {

constexpr const char *documentSuffix = ".ini";

} // namespace

std::string readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream content;
    if (file) {
        content << file.rdbuf();
    }
    // An empty file sets the stream's fail bit on copying, so only a failed opening or reading counts.
    if (!file.is_open() || file.bad() || std::filesystem::is_directory(path)) {
        throw Error(Step::Settings, path, "the file cannot be read");
    }
    return content.str();
}

DocumentSet readDocumentFolder(const std::string &folder)
{
    namespace fs = std::filesystem;
    if (!fs::is_directory(folder)) {
        throw Error(Step::Settings, folder, "no such folder");
    }
    DocumentSet documents;
    for (const fs::directory_entry &entry : fs::recursive_directory_iterator(folder)) {
        if (!entry.is_regular_file() || entry.path().extension() != documentSuffix) {
            continue;
        }
        const std::string name = fs::relative(entry.path(), folder).replace_extension().generic_string();
        const Document document{name, 1, readFile(entry.path().string()), false};
        documents.emplace(name, std::make_shared<const Document>(document));
    }
    return documents;
}

std::string documentPath(const std::string &folder, const std::string &document)
{
    return (std::filesystem::path(folder) / (document + documentSuffix)).generic_string();
}

} // namespace Sequoiausher
