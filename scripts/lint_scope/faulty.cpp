#include <string>
#include <vector>

// Each line below breaks one rule of .clang-tidy. scripts/lint checks that all are found.
namespace dandelionstep {

struct BadName {
    int* none = 0;
};

int copied(std::vector<std::string> names)
{
    if (names.empty())
        return 0;
    int unset;
    return static_cast<int>(names.size());
}

} // namespace dandelionstep
