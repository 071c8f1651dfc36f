#ifndef CW_TOOLS_SOAK_DEADLY_H
#define CW_TOOLS_SOAK_DEADLY_H
/*
    What became of deadly bodies in a soak: how many upstreams ended under each, and how often it reached one when it
    should have been known by then.
*/
#include <stdint.h>

#define SOAK_DEADLY_BODIES 64
#define SOAK_DEADLY_LIVES 3       /* upstreams that may end under a body before it must be known */
#define SOAK_DEADLY_KNOWN_MS 3000 /* until all hosts must know it then */
#define SOAK_DEADLY_REACHES 3     /* that are allowed later */

typedef struct soak_deadly_body_t {
    char name[32];
    uint32_t sent, ended;
    int64_t known_ms; /* it must be known from then on, 0: not yet */
    uint32_t late;    /* times that it reached an upstream later than that */
} soak_deadly_body_t;

typedef struct soak_deadly_t {
    soak_deadly_body_t bodies[SOAK_DEADLY_BODIES];
    uint32_t count;
} soak_deadly_t;

/* The body of the name, new where it isn't known; NULL: there are too many. */
soak_deadly_body_t* soak_deadly_body(soak_deadly_t* d, const char* name);
void soak_deadly_reach(soak_deadly_body_t* body, int64_t at_ms);
void soak_deadly_died(soak_deadly_body_t* body, int64_t at_ms);

#endif
