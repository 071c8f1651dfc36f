#ifndef CW_TOOLS_EXPLAIN_H
#define CW_TOOLS_EXPLAIN_H
/*
    From a request's id to its lines: reads daemons' logs (either form, see chalkway_log.h) and prints, in order of
   time, the lines of the request, each with its file's name, and between them, marked by "~", what the daemons learned
   at that time of the servers that it met and of the source.
*/
#include <stdio.h>

/* Prints to out. Returns the number of lines of the request, 0 when no file has any, -1 when a file can't be read. */
int explain_request(const char* id, char* const* files, int count, FILE* out);

#endif
