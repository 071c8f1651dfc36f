#ifndef CW_TOOLS_SOAK_DEADLY_H
#define CW_TOOLS_SOAK_DEADLY_H
/*
    What became of deadly bodies in a soak: how many upstreams ended under each, and how often it reached one when it
    should have been known by then.
*/
#include <stdint.h>

#define SOAK_QOD_BODIES_MAX 64
#define SOAK_QOD_CRASHES_MAX 3       /* upstreams that may end under a body before it must be known */
#define SOAK_QOD_PROPAGATION_MS 3000 /* until all hosts must know it then */
#define SOAK_QOD_LATE_REACHES_MAX 3  /* that are allowed later */

typedef struct soak_qod_body_t {
    char name[32];
    uint32_t sent, crashes;
    int64_t known_from_ms; /* it must be known from then on, 0: not yet */
    uint32_t late_reaches; /* times that it reached an upstream later than that */
} soak_qod_body_t;

typedef struct soak_qod_t {
    soak_qod_body_t bodies[SOAK_QOD_BODIES_MAX];
    uint32_t count;
} soak_qod_t;

/* The body of the name, new where it isn't known; NULL: there are too many. */
soak_qod_body_t* soak_qod_find_or_add(soak_qod_t* d, const char* name);
void soak_qod_on_reach(soak_qod_body_t* body, int64_t at_ms);
void soak_qod_on_crash(soak_qod_body_t* body, int64_t at_ms);

#endif
