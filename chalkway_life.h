#ifndef CHALKWAY_LIFE_H
#define CHALKWAY_LIFE_H
/*
    chalkway_life.h -- which life of a source an answer comes from

    WHAT IT IS
        A source that was lost and comes back from an older copy of itself
        gives out its revisions again, for other changes. It says so by a
        number in each answer that rises with each such life. Revisions may
        be compared within one life only: what was asked by a revision of one
        life and answered by the next says nothing, and an answer of a life
        that is over is of no use.

    HOW TO USE IT
            cw_life_t life = {0};
            switch (cw_life_hear(&life, header)) { case CW_LIFE_NEWER: ... }

    WHAT IT DOES NOT DO
        It reads no answers, and forgets nothing by itself.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

/* All zero: none was heard of. */
typedef struct cw_life_t {
    int64_t number;
} cw_life_t;

typedef enum cw_life_verdict_t {
    CW_LIFE_SAME = 0, /* or the first that was heard of, or the answer says none */
    CW_LIFE_NEWER,    /* the answer begins a new life, which counts from now on */
    CW_LIFE_OLDER,    /* the answer comes from a life that is over */
    CW_LIFE_MALFORMED /* no whole number over 0: nothing changes */
} cw_life_verdict_t;

/* What an answer says of its life; text NULL: nothing. */
cw_life_verdict_t cw_life_hear(cw_life_t* life, const char* text);

#endif /* CHALKWAY_LIFE_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_LIFE_IMPL_INCLUDED
#define CHALKWAY_LIFE_IMPL_INCLUDED

#include <errno.h>
#include <stdlib.h>

cw_life_verdict_t cw_life_hear(cw_life_t* life, const char* text) {
    if (!text) {
        return CW_LIFE_SAME;
    }
    char* end = NULL;
    errno = 0;
    long long number = strtoll(text, &end, 10);
    if (errno || end == text || *end || number <= 0) {
        return CW_LIFE_MALFORMED;
    }
    if (number < life->number) {
        return CW_LIFE_OLDER;
    }
    bool newer = life->number && number > life->number;
    life->number = number;
    return newer ? CW_LIFE_NEWER : CW_LIFE_SAME;
}

#endif /* CHALKWAY_LIFE_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
