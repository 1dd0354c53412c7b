#include <cstdio>

int main(int argc, char** argv)
{
    if (argc > 1)
        std::fprintf(stderr, "601 usage: unknown command '%s'\n", argv[1]);
    return 2;
}
