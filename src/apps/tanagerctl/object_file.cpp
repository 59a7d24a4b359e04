#include "apps/tanagerctl/object_file.h"

#include "catalogue/types/catalogue_entry.h"

#include <filesystem>
#include <fstream>
#include <sstream>

namespace tanager {

result<object_file> read_object_file(const std::string& path)
{
    const std::filesystem::path location{path};
    std::ifstream stream(location);
    if (!stream) {
        return fail(result_code::invalid_argument, "cannot open " + path);
    }
    std::ostringstream text;
    text << stream.rdbuf();
    const std::string kind = std::filesystem::absolute(location).parent_path().filename().string();
    object_file file{kind + "/" + location.stem().string(), text.str()};
    const auto parsed = parse_catalogue_entry(file.object_name, file.json);
    if (!parsed) {
        return fail(parsed.error().code, path + ":\n" + parsed.error().detail);
    }
    return file;
}

} // namespace tanager
