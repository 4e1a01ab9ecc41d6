#include "clang-tidy/ClangTidyCheck.h"
#include "clang-tidy/ClangTidyModule.h"
#include "clang-tidy/ClangTidyModuleRegistry.h"
#include "clang/ASTMatchers/ASTMatchFinder.h"

#include <vector>

namespace {

using namespace clang;

//! Has the other checks of clang-tidy visit what the project declares, and not what library headers do. A
//! unit is visited from its root, so the scope is set when the root is matched, before anything below it.
class project_scope : public tidy::ClangTidyCheck {
public:
    using ClangTidyCheck::ClangTidyCheck;

    void registerMatchers(ast_matchers::MatchFinder* finder) override
    {
        finder->addMatcher(ast_matchers::translationUnitDecl().bind("unit"), this);
    }

    void check(const ast_matchers::MatchFinder::MatchResult& result) override
    {
        const SourceManager& sources = *result.SourceManager;
        std::vector<Decl*> declared_here;
        for (Decl* declared : result.Context->getTranslationUnitDecl()->decls()) {
            if (!sources.isInSystemHeader(sources.getExpansionLoc(declared->getLocation()))) {
                declared_here.push_back(declared);
            }
        }
        result.Context->setTraversalScope(declared_here);
    }
};

class scope_module : public tidy::ClangTidyModule {
public:
    void addCheckFactories(tidy::ClangTidyCheckFactories& factories) override
    {
        factories.registerCheck<project_scope>("project-scope");
    }
};

tidy::ClangTidyModuleRegistry::Add<scope_module> registered("project-scope",
                                                            "Visits the project's code alone.");

} // namespace
