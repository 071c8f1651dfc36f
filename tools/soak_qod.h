#ifndef CW_TOOLS_SOAK_QOD_H
#define CW_TOOLS_SOAK_QOD_H
/*
    Counts, for each query of death in a soak, how many upstreams it crashed, and how often it still reached an upstream
    when all hosts should have quarantined it. A query of death is a body, or a part in prompts that have nothing else
    in common.
*/
#include <stdint.h>

#define SOAK_QOD_BODIES_MAX 64
#define SOAK_QOD_CRASHES_MAX 3       /* crashes after which the hosts must quarantine a body */
#define SOAK_QOD_PART_CRASHES_MAX 5  /* and a part */
#define SOAK_QOD_PART_PREFIX "part-" /* of the names of parts */
#define SOAK_DEADLY_PART 0xdead00    /* ids of the parts that crash upstreams begin after it */
#define SOAK_DEADLY_PARTS_MAX 255
#define SOAK_QOD_PROPAGATION_MS 3000 /* from the last of these crashes until all hosts must know of it */
#define SOAK_QOD_LATE_ARRIVALS_MAX 3 /* arrivals at upstreams tolerated after the propagation time */

typedef struct soak_qod_body_t {
    char name[32];
    uint32_t sent, crashes;
    int64_t known_from_ms;  /* from when on all hosts must know of the body; 0: not set yet */
    uint32_t late_arrivals; /* arrivals at upstreams after known_from_ms */
} soak_qod_body_t;

typedef struct soak_qod_t {
    soak_qod_body_t bodies[SOAK_QOD_BODIES_MAX];
    uint32_t count;
} soak_qod_t;

/* Returns the entry of the body with the name, added if it is new, or NULL if the table is full. */
soak_qod_body_t* soak_qod_find_or_add(soak_qod_t* qod, const char* name);
/* The body arrived at an upstream. */
void soak_qod_on_arrival(soak_qod_body_t* body, int64_t at_ms);
/* An upstream crashed while it ran the body. */
void soak_qod_on_crash(soak_qod_body_t* body, int64_t at_ms);

#endif
