#!/usr/bin/env perl
# Reports comments of src and platform that tell how a value was found: measurements and the runs they
# came from belong into commit messages and docs/.
use strict;
use warnings;
my @told = (
  qr/\breplay(s|ed)? of\b/,   qr/\blines of a day\b/,    qr/\bcounted at\b/,
  qr/\bworked out\)/,         qr/\bas measured in\b/,    qr/\bon loopback\)/,
  qr/\b\d[\d,]* of \d[\d,]*\b/, qr/\bin place of \d/,    qr/\b[Ww]ith \d[\d.]* and \d/,
  qr/\bseed \d/,              qr/\bissue \d/,            qr/\b20\d\d-\d\d/,
);
my $found = 0;
for my $path (split /\n/, `git ls-files 'src/*.h' 'src/*.cpp' 'platform/*.h' 'platform/*.cpp'`) {
  open my $file, '<', $path or next;
  local $/;
  my $text = <$file>;
  while ($text =~ m{(/\*.*?\*/|//[^\n]*(?:\n[ \t]*//[^\n]*)*)}sg) {
    my ($comment, $at) = ($1, $-[0]);
    (my $flat = $comment) =~ s/\s*\n\s*(\*|\/\/)?\s*/ /g;
    for my $pattern (@told) {
      next if $flat !~ $pattern;
      my $line = 1 + (substr($text, 0, $at) =~ tr/\n//);
      print "$path:$line: a comment tells a measurement: $&\n";
      $found = 1;
    }
  }
}
print "comments: none tells a measurement\n" if !$found;
exit $found;
